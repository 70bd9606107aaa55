package hosted

import (
	"github.com/daisylb/daisylb/roster"
	"github.com/daisylb/daisylb/route"
)

// callerAddresses returns the addresses of the instances that accept callers, as
// answered by the instance self. When the fleet has more than maxEndpoints
// instances, each instance answers with a subset of its own, so that every instance
// is in some answer. A subset changes by one address when an instance joins or
// leaves, so that callers keep their connections.
func callerAddresses(members []roster.Member, self string) []string {
	var addresses []string
	for _, m := range members {
		if acceptsCallers(m) {
			addresses = append(addresses, m.CallerAddress)
		}
	}
	return route.Subset(addresses, self, maxEndpoints)
}

// acceptsCallers reports whether callers are sent to an instance.
func acceptsCallers(m roster.Member) bool { return m.Ready && !m.Leaving }
