// Package quota limits the requests of client accounts over all instances together. The
// limit of an account is split into a few shares, each of which has one owner among the
// instances. Owners grant tokens; an instance that has none of an account asks an owner.
//
// The listener of callers calls Limiter.Admit for each request. The package decides nothing
// about where a request runs and keeps no state beyond the process.
//
// Limiter does the messages and the locking. The decisions are in Shares, bucket, stock,
// and Ring, which are given the time and do no I/O.
package quota
