package load

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/daisylb/daisylb/settings"
)

// Check implements settings.Rules.
func (e *Experiment) Check(c *settings.Checker) {
	c.Field("name").Expect(isFileName(e.Name), "found %q, expected letters, digits and hyphens", e.Name)
	settings.Between(c.Field("rounds"), e.Rounds, 1, maxRounds)
	settings.Between(c.Field("warmup"), e.Warmup, 0, maxDuration)
	settings.Between(c.Field("duration"), e.Duration, 100*time.Millisecond, maxDuration)
	settings.Between(c.Field("drain"), e.Drain, 0, maxDuration)
	settings.Between(c.Field("settle"), e.Settle, 0, maxDuration)
	settings.Between(c.Field("max_open"), e.MaxOpen, 1, maxOpen)
	c.Field("deployments").Expect(len(e.Deployments) > 0, "expected at least one deployment")
	c.Field("variants").Expect(len(e.Variants) > 0 && len(e.Variants) <= maxVariants, "found %d, expected 1 to %d", len(e.Variants), maxVariants)
	checkNames(c.Field("online"), e.Online, func(m OnlineMix) string { return m.Name })
	checkNames(c.Field("batch"), e.Batch, func(m BatchMix) string { return m.Name })
	checkNames(c.Field("actions"), e.Actions, func(a Action) string { return a.Name })
	checkNames(c.Field("variants"), e.Variants, func(v Variant) string { return v.Name })
	for i, a := range e.Actions {
		e.checkTimes(c.Field("actions").Index(i), a)
	}
	for i, v := range e.Variants {
		e.checkVariant(c.Field("variants").Index(i), v)
	}
	for i, f := range e.Figures {
		e.checkFigure(c.Field("figures").Index(i), f)
	}
}

func isFileName(s string) bool {
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return s != ""
}

func checkNames[T any](c *settings.Checker, list []T, name func(T) string) {
	seen := map[string]bool{}
	for i, v := range list {
		n := name(v)
		field := c.Index(i).Field("name")
		field.Expect(n != "", "is missing")
		field.Expect(!seen[n], "found %q, which stands twice", n)
		seen[n] = true
	}
}

func (e *Experiment) checkTimes(c *settings.Checker, a Action) {
	settings.Between(c.Field("at"), a.At, -e.Warmup, e.Duration)
	if a.Until != 0 {
		settings.Between(c.Field("until"), a.Until, a.At, e.Duration)
	}
}

func (e *Experiment) checkVariant(c *settings.Checker, v Variant) {
	if v.Deployment != "" {
		_, known := e.Deployments[v.Deployment]
		c.Field("deployment").Expect(known, "found %q, expected the name of a deployment", v.Deployment)
	} else {
		c.Field("deployment").Expect(len(e.Deployments) < 2, "is missing, expected one of the deployments")
	}
	settings.Between(c.Field("rate_factor"), v.RateFactor, 0, 100)
	for i, name := range v.Online {
		c.Field("online").Index(i).Expect(e.online(name) != nil, "found %q, expected the name of an online mix", name)
	}
	for i, name := range v.Batch {
		c.Field("batch").Index(i).Expect(e.batch(name) != nil, "found %q, expected the name of a batch mix", name)
	}
	for i, name := range v.Actions {
		c.Field("actions").Index(i).Expect(e.action(name) != nil, "found %q, expected the name of an action", name)
	}
}

func (e *Experiment) checkFigure(c *settings.Checker, f Figure) {
	c.Field("name").Expect(f.Name != "", "is missing")
	e.checkValue(c.Field("of"), f.Of)
	e.checkOptional(c.Field("minus"), f.Minus)
	e.checkOptional(c.Field("over"), f.Over)
	e.checkOptional(c.Field("less"), f.Less)
	c.Field("less").Expect(f.Less == nil || f.Over != nil, "expected over as well")
}

func (e *Experiment) checkOptional(c *settings.Checker, v *Value) {
	if v != nil {
		e.checkValue(c, *v)
	}
}

func (e *Experiment) checkValue(c *settings.Checker, v Value) {
	c.Field("variant").Expect(e.variant(v.Variant) != nil, "found %q, expected the name of a variant", v.Variant)
	settings.OneOf(c.Field("measure"), v.Measure, measures...)
	if v.Measure.ofDeployment() {
		return
	}
	known := e.online(v.Mix) != nil || e.batch(v.Mix) != nil
	c.Field("mix").Expect(known, "found %q, expected the name of a mix", v.Mix)
}

// Check implements settings.Rules.
func (d Deployment) Check(c *settings.Checker) {
	c.Field("instances").Expect(len(d.Instances) > 0, "is missing, expected at least one address")
	checkAddresses(c.Field("instances"), d.Instances)
	checkAddresses(c.Field("operators"), d.Operators)
}

func checkAddresses(c *settings.Checker, list []string) {
	for i, address := range list {
		_, err := netip.ParseAddrPort(address)
		c.Index(i).Expect(err == nil, "found %q, expected IP:port", address)
	}
}

// Check implements settings.Rules.
func (m OnlineMix) Check(c *settings.Checker) {
	c.Field("service").Expect(m.Service != "", "is missing, expected the name of a service")
	c.Field("rate").Expect(m.Rate > 0 && m.Rate <= maxRate, "found %v, expected over 0 to %d", m.Rate, maxRate)
	settings.Between(c.Field("system_bytes"), m.SystemBytes, 0, maxLength)
	settings.Between(c.Field("callers"), m.Callers, 0, maxCallers)
	settings.Between(c.Field("deadline"), m.Deadline, 0, maxDuration)
	settings.Between(c.Field("objective"), m.Objective, 0, maxDuration)
	if m.From != nil && m.Until != nil {
		c.Field("until").Expect(*m.From < *m.Until, "found %v, expected a time after %v", *m.Until, *m.From)
	}
	checkAddresses(c.Field("direct"), m.Direct)
}

// Check implements settings.Rules.
func (m BatchMix) Check(c *settings.Checker) {
	c.Field("service").Expect(m.Service != "", "is missing, expected the name of a service")
	settings.Between(c.Field("jobs"), m.Jobs, 1, 1000)
	settings.Between(c.Field("items"), m.Items, 1, maxItems)
	settings.Between(c.Field("every"), m.Every, 0, maxDuration)
}

// Check implements settings.Rules.
func (a Action) Check(c *settings.Checker) {
	c.Expect((len(a.URLs) > 0) != (a.Preset != ""), "expected either urls or a preset")
	for i, text := range a.URLs {
		u, err := url.Parse(text)
		c.Field("urls").Index(i).Expect(err == nil && u.Scheme == "http" && u.Host != "", "found %q, expected http://IP:port/path", text)
	}
	if a.Method != "" {
		settings.OneOf(c.Field("method"), a.Method, "POST", "PUT")
	}
	if a.Preset != "" {
		c.Field("clear_preset").Expect(a.ClearPreset != "", "is missing, expected the preset to return to")
		return
	}
	c.Field("clear").Expect(len(a.Clear) > 0, "is missing, expected the body that undoes the action")
}
