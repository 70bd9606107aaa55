// Package load drives a running deployment with online and batch work and
// measures what callers see. Arrivals are drawn from a seed before the run and
// do not wait for answers; a latency counts from the time at which the request
// was due, so a stall of the deployment shows in full. One run compares
// variants in alternating rounds with the same arrivals and reports the ratios
// of named figures, as JSON and as SVG plots.
//
// cmd/daisylb calls Parse and Run. The package starts no process; the upstreams
// must be the stand-in engines, whose answers it verifies.
package load
