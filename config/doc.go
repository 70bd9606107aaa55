// Package config keeps the versioned configuration of the whole system and
// brings every accepted change to every instance. Operators' requests and the
// peers' exchanges come in; the rest of the daemon reads Store.Current. The
// package never decides what a configuration means to a part.
//
// # Versions
//
// The table holds a log: one head row with the version in force, one row for
// each change with the difference to the version before, and one row for each
// change id. A change is one transaction on the condition that the head is the
// version that the change was made from and that its id is new. Of racing
// operators one wins, the others get code.VersionConflict with the winner. A
// transaction whose answer was lost is sent again; the id row tells whether
// the first one took effect. Every 64 versions the whole document is put into
// an object, so that a fresh instance reads one snapshot and a short tail.
//
// An instance publishes only versions that are in the table, and only higher
// ones than it has. Readers get an immutable document through an atomic
// pointer; exactly one preset is a field of it.
//
// # Distribution
//
// The accepting instance pushes the difference to at most 24 peers, which
// relay it to the others, and answers with the number of instances that have
// it in force. A receiver that misses earlier changes pulls them from the
// accepting instance, or reads the table. Membership digests carry versions:
// Observe makes a laggard pull from the peer that is ahead, so peers alone
// bring a change everywhere while the store is down. Each instance also reads
// the head row now and then; all together they read it 20 times a second.
//
// # Start
//
// A starting instance serves nothing. The table decides its first version.
// While the table does not answer, the highest version of more than half of
// the peers does: a change that was in force at more than half of the
// instances is among them, so the restarted instance does not go below it.
//
// # Isolation
//
// An instance that reaches neither the table nor any peer cannot know whether
// its document is still in force. It keeps the document for what is running,
// and Ready returns code.NoConfiguration after Options.IsolationLimit, so that
// new work is refused as not run and callers go to another address of their
// endpoint answer. An instance that reaches one peer counts as not isolated:
// the peers' digests bring it any version that one of them has.
package config
