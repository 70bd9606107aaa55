// Package instance keeps the state of this instance and its view of the other
// instances: the lifecycle from start to planned stop, and the membership,
// maintained by probes, gossip and the platform's instance list. Other packages
// read the published View to find the live instances and the owner of a key.
// The view is eventually consistent. Decisions on which instances must agree
// are made through the platform's table.
package instance
