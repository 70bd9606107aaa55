package hosted

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/budget"
)

// port is a port beside that for requests. What is held for its callers is bounded like for
// those of requests, by a budget of its own.
type port struct {
	server *http.Server
	// budget is nil if the settings have no memory limit. connections are then nil as well.
	budget      *budget.Budget
	connections *connections
}

// buildBudgets builds the budgets of the ports, if the settings have a memory limit. The ports
// for peers and for metrics have none: only the fleet and its operator reach them.
func (i *Instance) buildBudgets() error {
	settings := i.settings.Load()
	if settings.MemoryBytes <= 0 {
		return nil
	}
	others := map[string]*port{"directory": &i.directory, "readiness": &i.readiness}
	requests, other := budget.LimitsFor(settings.MemoryBytes, settings.MaxDescriptors).Split(len(others))
	i.budget = budget.New(requests)
	i.registerBudgetMetrics("requests", i.budget)
	for name, p := range others {
		p.budget = budget.New(other)
		i.registerBudgetMetrics(name, p.budget)
	}
	i.log.Info("budget for callers", zap.Int64("bytes", requests.Bytes), zap.Int("connections", requests.Connections),
		zap.Int64("other_port_bytes", other.Bytes), zap.Int("other_port_connections", other.Connections),
		zap.Int64("job_bytes", i.budget.BackgroundBytes()))
	return nil
}

// configure lets the server, which must not be serving yet, draw on the budget.
func (p *port) configure(headLimit func() int, log *zap.Logger) {
	if p.budget == nil {
		return
	}
	p.connections = newConnections(func() time.Duration { return idleTimeout }, log)
	p.connections.budget, p.connections.headLimit = p.budget, headLimit
	p.connections.socketBytes, p.connections.lingerTime = portSocketBytes, portLingerTime
	p.connections.configure(p.server)
}

const (
	// portSocketBytes is socketBufferBytes for a port whose requests and answers are short.
	portSocketBytes = 8 << 10
	// portLingerTime is short, so that connections with refused heads soon make room.
	portLingerTime = 50 * time.Millisecond
)

// guard returns the listener for a server, whose connections are charged if it is that of a
// port with a budget.
func (i *Instance) guard(server *http.Server, l net.Listener) net.Listener {
	for _, p := range []*port{&i.directory, &i.readiness} {
		if p.server == server && p.connections != nil {
			return p.connections.listener(l)
		}
	}
	return l
}
