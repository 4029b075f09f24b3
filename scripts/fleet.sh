# Functions for measuring scripts that start a fleet as separate processes on
# loopback. To be sourced in bash with -euo pipefail and PORT set.

readonly TABLE=127.0.0.42:$((PORT + 5)) PLATFORM=127.0.0.42:$((PORT + 6))
readonly DOMAINS=(praha-a praha-b kladno)
readonly OPERATOR_KEY=measure

DIRECTORY=$(mktemp -d)
PIDS=()
DAEMONS=()

stop_fleet() {
  kill "${PIDS[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$DIRECTORY"
}
trap stop_fleet EXIT

# address INDEX prints the address of a daemon.
address() { echo "127.0.$((1 + $1 / 200)).$((1 + $1 % 200))"; }

settings() { # INDEX
  local a
  a=$(address "$1")
  cat <<END
Region: cz-stred
FailureDomain: ${DOMAINS[$(($1 % 3))]}
Regions: [{Name: cz-stred, FailureDomains: [praha-a, praha-b, kladno]}]
Listen: {Callers: "$a:$PORT", Operators: "$a:$((PORT + 1))", Peers: "$a:$((PORT + 2))", Metrics: "$a:$((PORT + 3))"}
AdvertisePeer: $a:$((PORT + 2))
Seeds: ["$(address 0):$((PORT + 2))", "$(address 1):$((PORT + 2))"]
Platform: {Table: "$TABLE", Objects: "$PLATFORM", Orders: "$PLATFORM", Usage: "$PLATFORM", VMList: "$PLATFORM", Weights: "$PLATFORM"}
TLS: {CA: $DIRECTORY/tls-$1/ca.pem, Certificate: $DIRECTORY/tls-$1/certificate.pem, Key: $DIRECTORY/tls-$1/key.pem}
OperatorKeyHash: $(printf '%s' "$OPERATOR_KEY" | sha256sum | cut -d ' ' -f 1)
Log: {Level: error}
Drain: {BalancerDelay: 0s, Limit: 1m}
END
}

# background LOG COMMAND... starts a process in the background and sets PID.
background() {
  local log=$1
  shift
  "$@" >/dev/null 2>>"$DIRECTORY/$log" &
  PID=$!
  PIDS+=("$PID")
}

# start_fleet COUNT starts the platform and COUNT daemons, and waits until they are
# ready.
start_fleet() {
  local i
  background platform.log bin/standin table --listen "$TABLE"
  background platform.log bin/standin platform --listen "$PLATFORM" --fenced
  bin/standin wait "http://$PLATFORM/reports"
  for i in $(seq 0 $(($1 - 1))); do
    bin/lacewingtally certificate create --authority "$DIRECTORY/authority" \
      --directory "$DIRECTORY/tls-$i" --address "$(address "$i")" >/dev/null
    settings "$i" >"$DIRECTORY/daemon-$i.yaml"
    background daemons.log bin/lacewingtally serve --settings "$DIRECTORY/daemon-$i.yaml"
    DAEMONS+=("$PID")
  done
  for i in $(seq 0 $(($1 - 1))); do bin/standin wait "http://$(address "$i"):$((PORT + 3))/readyz"; done
}

# ticks PID prints the CPU time that a process has used, in clock ticks.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
