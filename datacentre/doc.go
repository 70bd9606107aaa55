// Package datacentre answers callers' question which instances to use. It
// orders data centres by distance and instances by data centre, from the
// configuration document and the membership view. It keeps no state and
// decides nothing about the health of instances.
package datacentre
