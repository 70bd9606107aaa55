// Package job runs batch jobs of whole requests on routed services. A job is accepted
// once and durably, its items run on the capacity that online requests leave free,
// and their results are listed at positions that never change.
//
// All durable state is in rows and objects of the store. Every change of a job is a
// transaction conditioned on the version of its head, the state row of the job. Two
// instances that act as owner at the same time can repeat work but can't list an item
// twice.
package job
