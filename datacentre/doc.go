// Package datacentre answers requests of callers for the list of instances to use.
// It sorts data centres by distance and instances by data centre, from the
// configuration document and the membership view. It has no state except counters
// and makes no decision about the health of instances.
package datacentre
