// Package instance holds what an instance knows of itself and of the others:
// the lifecycle from start to planned stop, and the membership view that
// probes and gossip keep. Every part that asks which instances live, or which
// of them owns a key, reads the published View. The view is an optimisation: it
// decides nothing that must be agreed, which the platform's table does.
package instance
