// Package quarantine finds the parts of prompts that crash upstreams, and keeps
// requests with such a part from the upstreams of the whole fleet.
//
// An upstream that crashes closes the connections of all its requests. Those that it
// had not begun to answer are suspects, and each instance sees only its own. Instances
// therefore share their evidence in a table of the store, one row for each crash of an
// upstream and each suspected part: rows are only added and removed, never changed, so
// that the order and the repetition of writes do not matter. A part is quarantined when
// upstreams have crashed on it repeatedly and no request with it has been answered since.
//
// What exonerates a part is an answer: a part that crashes every upstream is never in an
// answered request, and a part that merely shares requests or upstreams with one that
// does soon is. An instance that has answered requests with a part lately suspects
// another part of the same request first, and demands more evidence against it. So does
// an instance that knows of as many crashes without the part: upstreams crash for reasons
// of their own, too.
//
// A quarantined part gets a trial from time to time, at ever longer intervals: one
// request of one instance, chosen by a conditional write. If it is answered, the
// evidence is removed.
//
// Package upstream reports crashes and answers and asks before it sends. The package
// neither selects upstreams nor retries requests.
package quarantine
