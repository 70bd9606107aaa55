package config

import (
	"maps"
	"net/netip"
	"regexp"
	"slices"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/settings"
)

// Limits of the fields of a document.
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
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// ParseDocument parses a document from JSON with comments and validates it.
// Name identifies the text in faults. The error is a settings.Faults with every
// fault, with the number code.InvalidSettings. The document keeps a version in
// the text, which is the version that the text was edited from.
func ParseDocument(name string, data []byte) (*contract.Document, error) {
	d := &contract.Document{}
	faults := settings.DecodeWith(name, data, d, func(c *settings.Checker) { checkDocument(c, d) })
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// CheckDocument validates a document that was not parsed from a text. The error
// is a settings.Faults with every fault.
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
	for _, name := range sortedNames(d.Presets) {
		p, check := d.Presets[name], presets.Key(name)
		checkName(check, name)
		settings.Between(check.Field("batch_share"), p.BatchShare, 0, 1)
		settings.Between(check.Field("headroom_slots"), p.HeadroomSlots, 0, maxHeadroomSlots)
		settings.Between(check.Field("hedge_share"), p.HedgeShare, 0, maxHedgeShare)
		check.Field("description").Expect(len(p.Description) <= maxDescriptionBytes, "expected at most %d bytes", maxDescriptionBytes)
	}
}

func checkDataCentres(c *settings.Checker, d *contract.Document) {
	prefixes := map[netip.Prefix]string{}
	c.Expect(len(d.DataCentres) > 0, "expected at least one data centre")
	for _, name := range sortedNames(d.DataCentres) {
		dc, check := d.DataCentres[name], c.Key(name)
		checkName(check, name)
		checkName(check.Field("region"), dc.Region)
		for i, text := range dc.CallerPrefixes {
			checkPrefix(check.Field("caller_prefixes").Index(i), text, name, prefixes)
		}
		for _, other := range sortedNames(dc.DistanceMicroseconds) {
			distance := check.Field("distance_us").Key(other)
			_, known := d.DataCentres[other]
			distance.Expect(known && other != name, "expected the name of another entry of data_centres")
			settings.Between(distance, dc.DistanceMicroseconds[other], 0, maxDistanceMicros)
		}
	}
}

// checkPrefix checks a caller prefix of data centre name. Owners maps the
// prefixes checked so far to their data centres.
func checkPrefix(c *settings.Checker, text, name string, owners map[netip.Prefix]string) {
	p, err := netip.ParsePrefix(text)
	if !c.Expect(err == nil && p == p.Masked(), "found %q, expected an address range such as 10.1.0.0/16", text) {
		return
	}
	owner, taken := owners[p]
	c.Expect(!taken, "%s belongs to data centre %q already", text, owner)
	owners[p] = name
}

func checkServices(c *settings.Checker, d *contract.Document) {
	c.Expect(len(d.Services) > 0, "expected at least one service")
	for _, name := range sortedNames(d.Services) {
		s, check := d.Services[name], c.Key(name)
		checkName(check, name)
		checkKind(check, s)
		checkInherited(check.Field("max_body_bytes"), s.MaxBodyBytes, d.Limits.MaxBodyBytes, "limits.max_body_bytes")
		checkInherited(check.Field("deadline_ms"), s.DeadlineMillis, d.Limits.MaxDeadlineMillis, "limits.max_deadline_ms")
		checkReferences(check.Field("accounts"), s.Accounts, d.Accounts, "accounts")
	}
}

func checkKind(check *settings.Checker, s contract.Service) {
	if !settings.OneOf(check.Field("kind"), s.Kind, contract.KindModel, contract.KindPlain) {
		return
	}
	model := check.Field("model")
	if s.Kind == contract.KindModel {
		model.Expect(s.Model != "", "expected the model name that the engines expect")
		return
	}
	model.Expect(s.Model == "", "found %q, expected no model for a plain service", s.Model)
}

// checkInherited checks a value that may not exceed limit; 0 means the limit.
// Field is the name of the limit.
func checkInherited[T int | int64](check *settings.Checker, v, limit T, field string) {
	check.Expect(v >= 0 && v <= limit, "found %d, expected 0 to %d (%s)", v, limit, field)
}

// checkReferences checks that list names entries of a section, each at most
// once.
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
	for _, id := range sortedNames(d.Upstreams) {
		u, check := d.Upstreams[id], c.Key(id)
		checkName(check, id)
		if a, ok := checkAddress(check.Field("address"), u.Address); ok {
			other, taken := addresses[a]
			check.Field("address").Expect(!taken, "%s is the address of upstream %q already", u.Address, other)
			addresses[a] = id
		}
		_, known := d.DataCentres[u.DataCentre]
		check.Field("data_centre").Expect(known, "found %q, expected the name of an entry of data_centres", u.DataCentre)
		settings.Between(check.Field("slots"), u.Slots, 1, maxSlots)
		checkUpstreamServices(check.Field("services"), u, d)
	}
}

// checkUpstreamServices checks that an upstream serves known services of one
// kind.
func checkUpstreamServices(c *settings.Checker, u contract.Upstream, d *contract.Document) {
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
	for _, id := range sortedNames(d.Accounts) {
		a, check := d.Accounts[id], c.Key(id)
		checkName(check, id)
		settings.Between(check.Field("weight"), a.Weight, 1, maxWeight)
		settings.Between(check.Field("max_in_flight"), a.MaxInFlight, 0, maxInFlight)
		checkInherited(check.Field("max_job_items"), a.MaxJobItems, d.Limits.MaxJobItems, "limits.max_job_items")
		hashes := check.Field("key_sha256")
		hashes.Expect(len(a.KeyHashes) > 0, "expected at least one key hash")
		for i, hash := range a.KeyHashes {
			hashes.Index(i).Expect(hashPattern.MatchString(hash), "expected 64 lower-case hexadecimal digits")
			owner, taken := owners[hash]
			hashes.Index(i).Expect(!taken, "the key belongs to account %q already", owner)
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
	c.Expect(namePattern.MatchString(name), "found %q, expected 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit", name)
}

// sortedNames returns the names of a section in order, so that faults are
// reported in a stable order.
func sortedNames[T any](section map[string]T) []string { return slices.Sorted(maps.Keys(section)) }
