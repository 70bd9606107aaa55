package route

// BatchTerms is what the preset in force leaves to batch work.
type BatchTerms struct {
	// Share of the idle capacity that batch may take, 0 to 1.
	Share float64
	// Headroom is the number of slots that batch leaves free on an upstream.
	Headroom int
	// Reserve is the number of slots that online requests must find free, so that
	// batch yields for it; the rest of the headroom is the hysteresis between
	// yielding and admitting.
	Reserve int
	// OnlineWaits is set while an online request waits for a slot.
	OnlineWaits bool
}

// BatchRoom returns how many more batch requests an upstream may take: a share
// of what online work and the headroom leave, and nothing while online work
// waits anywhere.
func BatchRoom(c *Candidate, t BatchTerms) int {
	if c.Held || t.OnlineWaits || c.Report.Known && c.Report.Waiting > 0 && c.Report.Age < reportHalfLife {
		return 0
	}
	return max(batchAllowed(c, t)-c.BatchTotal(), 0)
}

func batchAllowed(c *Candidate, t BatchTerms) int {
	idle := min(c.Slots, c.Limit) - t.Headroom - c.OnlineTotal()
	return int(t.Share * float64(max(idle, 0)))
}

// Excess returns how many of its own batch requests an instance has to cancel
// on an upstream, so that online requests find the reserve free. Instances
// share the cancellations in proportion to their batch requests.
func Excess(c *Candidate, t BatchTerms) int {
	over := Over(c, t)
	if over <= 0 || c.Batch == 0 {
		return 0
	}
	share := (over*c.Batch + c.BatchTotal() - 1) / c.BatchTotal()
	return min(share, c.Batch)
}

// InTheWay reports whether batch requests of any instance have to be
// cancelled on an upstream.
func InTheWay(c *Candidate, t BatchTerms) bool {
	return c.BatchTotal() > 0 && Over(c, t) > 0
}

// Over returns by how many requests an upstream is over what online requests
// need free.
func Over(c *Candidate, t BatchTerms) int {
	return c.OnlineTotal() + c.BatchTotal() + t.Reserve - min(c.Slots, c.Limit)
}
