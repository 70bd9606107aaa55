// Package load drives a running deployment with online and batch work and
// measures what callers see. Arrivals are drawn from a seed before the run and
// do not wait for answers. Latency counts from the time at which a request was
// due, so that a stall of the deployment is measured in full. An experiment
// runs its variants in turn, for several rounds, with the same arrivals for all
// variants of a round. It reports ratios of named figures, as JSON and as SVG
// plots.
//
// cmd/daisylb calls Parse and Run. The package starts no process. The upstreams
// must be the stand-in engines, whose answers it verifies.
package load
