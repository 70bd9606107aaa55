// Package datacentre answers the callers' request for the instances to use. It
// orders data centres by distance and instances by data centre, from the
// configuration document and the membership view. It has no state beyond
// counters and makes no decision about the health of instances.
package datacentre
