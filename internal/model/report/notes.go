package report

// Notes is the last part of the page: the measures on which baselines are better,
// and the changes that were tried with their results.
const Notes = `
## Where it does not win

- *On-demand only* waits less in the Asociace's worst-served workspace, since standard
  servers take all live work; it costs more than a quarter more a token.
- *No straggler handling* is slightly fresher: a spare group that was not needed is used a step
  later. It pays with idle trainers under stragglers and in a store outage.
- In time is equal for most policies: the traces leave room, and callers wait for 30 s.
- In a store outage usage reports are late with every policy.

## What was tried

One change and one measurement each, on seeds 1 to 5 unless said otherwise.

| Change | Before | After | Kept |
|---|---|---|---|
| Task share counts only the class at hand (wait p99, Asociace calm) | 1.86 s | 1.52 s | yes |
| Order by turns in place of task share (the same) | 1.52 s | 1.39 s | until the reserve |
| Virtual time in tokens in place of turns (the same; Cosecha Escolar calm) | 1.39 s; 1.07 s | 1.40 s; 1.39 s | no |
| Reserve for live work 0.3 in place of 0.1 (wait p99, Asociace calm) | 1.39 s | 0.67 s | yes |
| Training floor 0.3 in place of 0.2 (wait p99, Asociace overloaded, seeds 1 to 3) | 0.95 s | 1.38 s | no |
| Weighted max-min in place of turns (wait p99, Asociace overloaded) | 0.97 s | 0.87 s | yes |
| Task share in place of weighted max-min (the same) | 0.87 s | 0.92 s | no |
| Groups asked for once the newest weights are everywhere (staleness, Cosecha Escolar calm) | 1.23 | 1.06 | yes, in the model |
| Next batch formed while its trainer is busy (idle, store outage, Cosecha Escolar) | 16.16 % | 11.51 % | yes, in the model |
| Slow servers come last (in time, stragglers, Asociace) | 99.73 % | 99.90 % | yes |
`
