// Package job keeps jobs of whole requests to routed services: accepted once
// and durably, run on the capacity that online requests leave, listed result by
// result at positions that never change. All that must last is in rows and
// objects of the platform's store; every change of a job is a transaction
// conditioned on the version of its head, so that two owners at once can waste
// work but never list an item twice.
package job
