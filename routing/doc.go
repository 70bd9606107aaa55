// Package routing knows where requests go: the operator's document, which is in
// force as soon as it is read and never goes back to an older version, and the
// workers that register themselves in the store. It puts both together into the
// document that the dispatcher reads. It is fed by package feed and does no I/O.
package routing
