// Package soak runs daemons as processes on the loopback, with stand-ins for
// the platform's store and the workers. It sends requests as callers do,
// injects faults drawn from a seed, and checks what callers and workers
// observed against the guarantees. It reads no state of a daemon: the checks
// use only the history of calls, answers and runs. cmd/soak runs it. It is not
// for production.
package soak
