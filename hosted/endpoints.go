package hosted

import (
	"github.com/daisylb/daisylb/roster"
	"github.com/daisylb/daisylb/route"
)

// endpoints returns the addresses of the instances that take callers. In a fleet
// that does not fit into an answer each answering instance names a part of its
// own, which changes by one member when one comes or goes: callers keep their
// connections, and no instance is left out of all answers.
func callerAddresses(members []roster.Member, answering string) []string {
	var addresses []string
	for _, m := range members {
		if m.Ready && !m.Leaving {
			addresses = append(addresses, m.Callers)
		}
	}
	return route.Subset(addresses, answering, maxEndpoints)
}
