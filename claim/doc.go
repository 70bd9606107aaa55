// Package claim runs calls at most once and stores their answers. A call with a key
// is dispatched only after a row for the key was inserted into the table of the
// store, and its answer is stored before it is returned to the caller. A call whose
// holder has failed is never dispatched again: its outcome is unknown.
//
// Rows of many calls share one transaction. The keys are divided into groups, and
// each group has an owner, chosen by rendezvous hashing over the live instances, that
// commits for all instances. Ownership only saves writes: any instance may commit any
// row, since each write is conditioned on the version of the row and each record has
// the unique id of its claim.
//
// Package caller, which serves the requests of callers, calls Service.Do. This package
// itself dispatches nothing.
package claim
