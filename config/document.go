package config

import (
	"maps"
	"net/netip"
	"regexp"
	"slices"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/settings"
)

// Ranges of a document's fields.
const (
	maxDescriptionBytes = 500
	maxHeadroomSlots    = 10_000
	maxHedgeShare       = 0.2
	maxDistanceMicros   = 10_000_000
	maxSlots            = 100_000
	maxWeight           = 1_000
	maxInFlight         = 1_000_000
	minBodyBytes        = 1 << 10
	maxBodyBytes        = 1 << 30
	maxDeadlineMillis   = 24 * 60 * 60 * 1000
	maxEndpointTTL      = 3_600
	maxJobItems         = 10_000_000
	maxItemAttempts     = 100
)

var (
	nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashForm = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// ParseDocument reads a document from JSON with comments and checks it whole.
// Name stands for the text in faults. The error is a settings.Faults with every
// fault, number code.InvalidSettings. A version in the text is kept; it says
// which version the text was edited from.
func ParseDocument(name string, data []byte) (*contract.Document, error) {
	d := &contract.Document{}
	faults := settings.DecodeWith(name, data, d, func(c *settings.Checker) { checkDocument(c, d) })
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// CheckDocument checks a document that did not come from a text. The error is
// a settings.Faults with every fault.
func CheckDocument(name string, d *contract.Document) error {
	return settings.Check(name, d, func(c *settings.Checker) { checkDocument(c, d) }).Err()
}

func checkDocument(c *settings.Checker, d *contract.Document) {
	checkPresets(c, d)
	checkDataCentres(c.Field("data_centres"), d)
	checkServices(c.Field("services"), d)
	checkUpstreams(c.Field("upstreams"), d)
	checkAccounts(c.Field("accounts"), d)
	checkLimits(c.Field("limits"), d.Limits)
}

func checkPresets(c *settings.Checker, d *contract.Document) {
	_, known := d.Presets[d.Preset]
	c.Field("preset").Expect(known, "found %q, expected the name of an entry of presets", d.Preset)
	presets := c.Field("presets")
	presets.Expect(len(d.Presets) > 0, "expected at least one preset")
	for _, name := range names(d.Presets) {
		p, at := d.Presets[name], presets.Key(name)
		checkName(at, name)
		settings.Between(at.Field("batch_share"), p.BatchShare, 0, 1)
		settings.Between(at.Field("headroom_slots"), p.HeadroomSlots, 0, maxHeadroomSlots)
		settings.Between(at.Field("hedge_share"), p.HedgeShare, 0, maxHedgeShare)
		at.Field("description").Expect(len(p.Description) <= maxDescriptionBytes, "expected at most %d bytes", maxDescriptionBytes)
	}
}

func checkDataCentres(c *settings.Checker, d *contract.Document) {
	prefixes := map[netip.Prefix]string{}
	c.Expect(len(d.DataCentres) > 0, "expected at least one data centre")
	for _, name := range names(d.DataCentres) {
		dc, at := d.DataCentres[name], c.Key(name)
		checkName(at, name)
		checkName(at.Field("region"), dc.Region)
		for i, text := range dc.CallerPrefixes {
			checkPrefix(at.Field("caller_prefixes").Index(i), text, name, prefixes)
		}
		for _, other := range names(dc.DistanceMicroseconds) {
			distance := at.Field("distance_us").Key(other)
			_, known := d.DataCentres[other]
			distance.Expect(known && other != name, "expected the name of another entry of data_centres")
			settings.Between(distance, dc.DistanceMicroseconds[other], 0, maxDistanceMicros)
		}
	}
}

func checkPrefix(c *settings.Checker, text, name string, seen map[netip.Prefix]string) {
	p, err := netip.ParsePrefix(text)
	if !c.Expect(err == nil && p == p.Masked(), "found %q, expected an address range such as 10.1.0.0/16", text) {
		return
	}
	first, taken := seen[p]
	c.Expect(!taken, "%s belongs to data centre %q already", text, first)
	seen[p] = name
}

func checkServices(c *settings.Checker, d *contract.Document) {
	c.Expect(len(d.Services) > 0, "expected at least one service")
	for _, name := range names(d.Services) {
		s, at := d.Services[name], c.Key(name)
		checkName(at, name)
		checkKind(at, s)
		checkInherited(at.Field("max_body_bytes"), s.MaxBodyBytes, d.Limits.MaxBodyBytes, "limits.max_body_bytes")
		checkInherited(at.Field("deadline_ms"), s.DeadlineMillis, d.Limits.MaxDeadlineMillis, "limits.max_deadline_ms")
		checkReferences(at.Field("accounts"), s.Accounts, d.Accounts, "accounts")
	}
}

func checkKind(at *settings.Checker, s contract.Service) {
	if !settings.OneOf(at.Field("kind"), s.Kind, contract.KindModel, contract.KindPlain) {
		return
	}
	model := at.Field("model")
	if s.Kind == contract.KindModel {
		model.Expect(s.Model != "", "expected the model name that the engines expect")
		return
	}
	model.Expect(s.Model == "", "found %q, expected no model for a plain service", s.Model)
}

// checkInherited checks a value for which 0 means the limit.
func checkInherited[T int | int64](at *settings.Checker, v, limit T, field string) {
	at.Expect(v >= 0 && v <= limit, "found %d, expected 0 to %d (%s)", v, limit, field)
}

func checkReferences[T any](c *settings.Checker, list []string, entries map[string]T, section string) {
	seen := map[string]bool{}
	for i, name := range list {
		_, known := entries[name]
		c.Index(i).Expect(known, "found %q, expected the name of an entry of %s", name, section)
		c.Index(i).Expect(!seen[name], "%q stands twice in the list", name)
		seen[name] = true
	}
}

func checkUpstreams(c *settings.Checker, d *contract.Document) {
	addresses := map[netip.AddrPort]string{}
	for _, id := range names(d.Upstreams) {
		u, at := d.Upstreams[id], c.Key(id)
		checkName(at, id)
		if a, ok := checkAddress(at.Field("address"), u.Address); ok {
			first, taken := addresses[a]
			at.Field("address").Expect(!taken, "%s is the address of upstream %q already", u.Address, first)
			addresses[a] = id
		}
		_, known := d.DataCentres[u.DataCentre]
		at.Field("data_centre").Expect(known, "found %q, expected the name of an entry of data_centres", u.DataCentre)
		settings.Between(at.Field("slots"), u.Slots, 1, maxSlots)
		checkServed(at.Field("services"), u, d)
	}
}

func checkServed(c *settings.Checker, u contract.Upstream, d *contract.Document) {
	c.Expect(len(u.Services) > 0, "expected at least one service")
	checkReferences(c, u.Services, d.Services, "services")
	kinds := map[contract.ServiceKind]bool{}
	for _, name := range u.Services {
		if s, ok := d.Services[name]; ok {
			kinds[s.Kind] = true
		}
	}
	c.Expect(len(kinds) <= 1, "expected services of one kind, model or plain")
}

func checkAddress(c *settings.Checker, address string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(address)
	ok := err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
	c.Expect(ok, "found %q, expected IP:port", address)
	return a, ok
}

func checkAccounts(c *settings.Checker, d *contract.Document) {
	owners := map[string]string{}
	for _, id := range names(d.Accounts) {
		a, at := d.Accounts[id], c.Key(id)
		checkName(at, id)
		settings.Between(at.Field("weight"), a.Weight, 1, maxWeight)
		settings.Between(at.Field("max_in_flight"), a.MaxInFlight, 0, maxInFlight)
		checkInherited(at.Field("max_job_items"), a.MaxJobItems, d.Limits.MaxJobItems, "limits.max_job_items")
		hashes := at.Field("key_sha256")
		hashes.Expect(len(a.KeyHashes) > 0, "expected at least one key hash")
		for i, hash := range a.KeyHashes {
			hashes.Index(i).Expect(hashForm.MatchString(hash), "expected 64 lower-case hexadecimal digits")
			first, taken := owners[hash]
			hashes.Index(i).Expect(!taken, "the key belongs to account %q already", first)
			owners[hash] = id
		}
	}
}

func checkLimits(c *settings.Checker, l contract.Limits) {
	settings.Between(c.Field("max_body_bytes"), l.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	settings.Between(c.Field("max_answer_bytes"), l.MaxAnswerBytes, minBodyBytes, maxBodyBytes)
	settings.Between(c.Field("max_deadline_ms"), l.MaxDeadlineMillis, 1, maxDeadlineMillis)
	c.Field("default_deadline_ms").Expect(l.DefaultDeadlineMillis >= 1 && l.DefaultDeadlineMillis <= l.MaxDeadlineMillis,
		"found %d, expected 1 to %d (max_deadline_ms)", l.DefaultDeadlineMillis, l.MaxDeadlineMillis)
	settings.Between(c.Field("endpoint_ttl_s"), l.EndpointTTLSeconds, 1, maxEndpointTTL)
	settings.Between(c.Field("max_job_items"), l.MaxJobItems, 1, maxJobItems)
	settings.Between(c.Field("item_attempts"), l.ItemAttempts, 1, maxItemAttempts)
	settings.Between(c.Field("retry_share"), l.RetryShare, 0, 1)
}

func checkName(c *settings.Checker, name string) {
	c.Expect(nameForm.MatchString(name), "found %q, expected 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit", name)
}

// names returns the keys of a section in order, so that faults come in a
// stable order.
func names[T any](section map[string]T) []string { return slices.Sorted(maps.Keys(section)) }
