package route

// BatchLimits limits the capacity that batch work may use, according to the preset
// in force.
type BatchLimits struct {
	// Share is the fraction of the idle capacity that batch work may use, 0 to 1.
	Share float64
	// Headroom is the number of slots that batch work leaves free on an upstream.
	Headroom int
	// Reserve is the number of slots that are kept free for online requests:
	// running batch requests yield to free them. The difference between Headroom
	// and Reserve is the hysteresis between yielding and admitting.
	Reserve int
	// OnlineWaiting is set while an online request waits for a slot on any
	// upstream.
	OnlineWaiting bool
}

// BatchCapacity returns how many more batch requests an upstream may be given: the
// share of the slots that online work and the headroom leave, and 0 while online
// work waits on any upstream.
func BatchCapacity(c *Candidate, limits BatchLimits) int {
	if c.Held || limits.OnlineWaiting || c.Report.Known && c.Report.Waiting > 0 && c.Report.Age < reportHalfLife {
		return 0
	}
	return max(batchLimit(c, limits)-c.BatchTotal(), 0)
}

// batchLimit returns the number of batch requests of all instances that an upstream
// may run.
func batchLimit(c *Candidate, limits BatchLimits) int {
	slots := min(c.Slots, c.Limit)
	if c.Knee > 0 {
		slots = min(slots, c.Knee)
	}
	idle := slots - limits.Headroom - c.OnlineTotal()
	return int(limits.Share * float64(max(idle, 0)))
}

// ProportionalYield returns how many of its own batch requests on an upstream an
// instance cancels to free the reserve. Instances share the cancellations in
// proportion to their batch requests.
func ProportionalYield(c *Candidate, limits BatchLimits) int {
	excess := SlotDeficit(c, limits)
	if excess <= 0 || c.Batch == 0 {
		return 0
	}
	share := (excess*c.Batch + c.BatchTotal() - 1) / c.BatchTotal()
	return min(share, c.Batch)
}

// MustYield reports whether any instance has to cancel batch requests on an
// upstream.
func MustYield(c *Candidate, limits BatchLimits) bool {
	return c.BatchTotal() > 0 && SlotDeficit(c, limits) > 0
}

// SlotDeficit returns how many slots are missing on an upstream for all its
// requests and the reserve. It is negative when slots are left.
func SlotDeficit(c *Candidate, limits BatchLimits) int {
	return c.OnlineTotal() + c.BatchTotal() + limits.Reserve - min(c.Slots, c.Limit)
}
