// Package claim runs calls at most once and keeps their answers. A call with a
// key is dispatched only after a row for the key was inserted into the
// platform's table, and its answer is stored before the caller is told. A call
// whose holder is gone is never dispatched again: its outcome is unknown.
//
// Rows of many callers share one transaction: the keys are divided into groups,
// and the owner of a group, found by rendezvous hashing over the live view,
// commits for all instances. Ownership only saves writes. Any instance may
// commit any row, since each write has a condition on the row's version and a
// record that names the claim.
//
// The caller's entry point calls Service.Do. The package dispatches nothing
// itself.
package claim
