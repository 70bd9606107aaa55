// Package routing maintains the operator's document and the workers that register
// themselves in the store. The document comes into force as soon as it is read and
// is never replaced by an older version. From the workers the package builds the
// document that the dispatcher reads. Its input is delivered by package feed; the
// package itself does no I/O.
package routing
