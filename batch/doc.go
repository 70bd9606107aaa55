// Package batch runs jobs of many items over the platform's table and objects.
//
// Service accepts jobs, reports on them, returns their results and cancels
// them. Runner finds open jobs, leases their segments, runs the items through
// an Executor and commits the results. Handler and Client speak the HTTP
// interface of both. Every instance has all of them.
//
// A job is one row of the table plus segments of a bounded number of items. A
// segment's row comes into being when it is first leased. A commit is one
// transaction on the segment's row that is conditioned on the version of that
// row and on the version of the job's row, which changes only when the job is
// cancelled or finished. Only results that a committed segment row names are
// visible, so each item completes once, and none after a cancellation.
//
// The package never chooses upstreams and keeps nothing on the instance.
package batch
