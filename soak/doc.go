// Package soak runs real daemons as processes on the loopback before stand-ins of
// the platform's store and of the workers, lets callers use them, injects faults
// that a seed draws, and checks what callers and workers saw against the promises.
// It reads no state of a daemon: what it knows is the history of calls, answers
// and runs. cmd/soak runs it; it is not for production.
package soak
