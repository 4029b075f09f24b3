#!/usr/bin/env bash
# Runs the case "poison": exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 it does the same without the disruption; the stand-in reads that variable.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lacewingtally ] && [ -x review/bin/standin ] || { echo "build first: the deploy file, then review/build.sh" >&2; exit 2; }
exec review/bin/standin poison review/5/record.txt
