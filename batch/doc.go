// Package batch runs batch jobs of many items, with all state in the platform's
// table and object store.
//
// Service accepts jobs, reports their status, returns their results and cancels
// them. Runner finds open jobs, leases their segments, runs the items through
// an Executor and commits the results. Sweeper removes expired data. Handler
// serves the HTTP interface of Service, and Client calls it. Every instance can
// do all of this.
//
// A job is one row of the table and a number of segments, each with a bounded
// number of items. The row of a segment is created when the segment is first
// leased. A commit is one transaction that writes the segment's row on the
// condition that neither that row nor the job's row has changed; the job's row
// changes only when the job is cancelled or finished. A result is visible only
// when a committed segment row refers to it, so each item completes once, and
// none completes after a cancellation.
//
// The package does not choose upstreams and stores nothing on the instance.
package batch
