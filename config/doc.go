// Package config keeps the versioned configuration document of the whole system
// and distributes every accepted change to every instance. It serves requests
// of operators and calls of peers; the other packages read Store.Current. What
// the configuration means is up to them.
//
// # Versions
//
// The table holds a log of changes: one head row with the version in force, one
// row per change with the difference to the previous version, and one row per
// change id. A change is committed by one transaction, on the conditions that
// the head is still the version that the change was made from and that its id
// is new. Of several concurrent changes one is committed; the others fail with
// code.VersionConflict, which names the committed one. A transaction whose
// response was lost is sent again; the id row shows whether the first attempt
// took effect. Every 64 versions the whole document is stored as an object, so
// that a new instance reads one snapshot and the few changes after it.
//
// An instance publishes only versions that are in the table, and never a lower
// version than its current one. Readers get an immutable document through an
// atomic pointer. The preset in force is a field of the document, so there is
// exactly one.
//
// # Distribution
//
// The accepting instance pushes the difference to at most 24 peers, which relay
// it to the others, and answers with the number of instances that have it in
// force. An instance that lacks earlier changes pulls them from the accepting
// instance, or reads the table. Gossip of the membership carries versions:
// Observe makes an instance pull from a peer with a higher version, so that
// peers alone distribute a change while the store is down. Each instance also
// polls the head row; up to 1,200 instances together read it at most 20 times
// per second.
//
// # Start
//
// A starting instance serves nothing until it has read its first version from
// the table. While the table does not respond, it takes the highest version
// among more than half of the peers: a change that was in force at more than
// half of the instances is among them, so a restarted instance does not serve a
// lower version.
//
// # Isolation
//
// An instance that reaches neither the table nor any peer cannot know whether
// its document is still in force. It keeps the document for running work, but
// Ready returns code.NoConfiguration after Options.IsolationLimit, so that new
// work is rejected before it runs and callers try another address of their
// endpoint answer. An instance that reaches at least one peer is not isolated:
// the versions that its peers report lead it to any version that one of them
// has.
package config
