package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"springfield/internal/settings"
)

const settingsPath = "$.settings"

// checkSettings checks the settings of the deployment.
func (c *checker) checkSettings(s *settings.Settings) {
	if !c.has(settingsPath) {
		c.failMissing(settingsPath, "the settings of the deployment")
		return
	}
	c.checkFleet(s)
	c.checkClasses(s)
	c.checkPlans(s.Contracts)
	c.checkChoice(settingsPath+".Discovery", s.Discovery, true, settings.DiscoveryPushed, settings.DiscoveryPolled)
	c.checkLimits(&s.Limits)
	c.checkReport(&s.Report)
	c.checkSafety(&s.Safety)
}

// checkChoice checks a string that must be one of the given choices.
func (c *checker) checkChoice(path, chosen string, optional bool, choices ...string) {
	switch {
	case slices.Contains(choices, chosen):
	case chosen != "":
		c.fail(path, "is %q, want %s", chosen, alternatives(choices))
	case !optional:
		c.failMissing(path, alternatives(choices))
	}
}

// alternatives formats choices as a list such as "a", "b" or "c".
func alternatives(choices []string) string {
	quoted := make([]string, len(choices))
	for i, choice := range choices {
		quoted[i] = fmt.Sprintf("%q", choice)
	}
	last := len(quoted) - 1
	if last == 0 {
		return quoted[0]
	}
	return strings.Join(quoted[:last], ", ") + " or " + quoted[last]
}

// checkFleet checks the numbers of gateways and zones, and this gateway's own index and zone.
func (c *checker) checkFleet(s *settings.Settings) {
	switch path := settingsPath + ".Balancers"; {
	case s.Balancers == 0 && !c.has(path):
		c.failMissing(path, "the number of gateways")
	case s.Balancers == 0:
		c.fail(path, "is 0, want 1 or more")
	case s.MyNumber >= s.Balancers && s.Balancers > 0:
		c.fail(settingsPath+".MyNumber", "is %d, want 0 to %d: Balancers is %d", s.MyNumber, s.Balancers-1, s.Balancers)
	}
	c.checkNames(settingsPath+".Zones", s.Zones, func(i int) string { return elementPath(settingsPath+".Zones", i) })
	if s.Locality > 0 && s.Locality >= len(s.Zones) {
		c.fail(settingsPath+".Locality", "is %d, want the index of a zone: Zones has %d", s.Locality, len(s.Zones))
	}
}

// checkNames checks that names are unique and not empty. The pathOf function returns the path of the name at an index.
func (c *checker) checkNames(listPath string, names []string, pathOf func(int) string) {
	for i, name := range names {
		if name == "" {
			c.failMissing(pathOf(i), "a name")
			continue
		}
		if earlier := slices.Index(names[:i], name); earlier >= 0 {
			c.fail(pathOf(i), "is %q, which is already the name of %s", name, elementPath(listPath, earlier))
		}
	}
}

func (c *checker) checkClasses(s *settings.Settings) {
	const path = settingsPath + ".Classes"
	if len(s.Classes) == 0 {
		c.failMissing(path, "at least one class")
		return
	}
	names := make([]string, len(s.Classes))
	for i := range s.Classes {
		class, classPath := &s.Classes[i], elementPath(path, i)
		names[i] = class.Name
		if strings.Contains(class.Name, "/") {
			c.fail(classPath+".Name", "is %q: a class name is one segment of a URL path", class.Name)
		}
		c.checkClassTimes(class, classPath)
		c.checkRepeat(class, classPath)
		if class.Value == 0 {
			c.warn(classPath+".Value", "is 0 or missing: requests of the class have no value")
		}
		if class.LateValue > 1 {
			c.fail(classPath+".LateValue", "is %g, want a share from 0 to 1", class.LateValue)
		}
	}
	c.checkNames(path, names, func(i int) string { return elementPath(path, i) + ".Name" })
}

func (c *checker) checkClassTimes(class *settings.Class, path string) {
	switch limit := path + ".HardLimitMs"; {
	case class.HardLimitMs == 0 && !c.has(limit):
		c.failMissing(limit, "the time that a client waits")
	case class.HardLimitMs == 0:
		c.fail(limit, "is 0: no client would wait for a response")
	case class.AimMs > class.HardLimitMs && class.HardLimitMs > 0:
		c.warn(path+".AimMs", "is %g, which exceeds HardLimitMs, %g", class.AimMs, class.HardLimitMs)
	}
}

// checkRepeat checks whether and how requests of a class may be repeated.
func (c *checker) checkRepeat(class *settings.Class, path string) {
	c.checkChoice(path+".Repeat", class.Repeat, false,
		settings.RepeatIdempotent, settings.RepeatDeduplicated, settings.RepeatAtMostOnce)
	c.checkChoice(path+".Group", class.Group, true, settings.GroupAll, settings.GroupZone, settings.GroupCell)
	if class.Repeat != settings.RepeatDeduplicated {
		return
	}
	if class.Group == "" {
		c.warn(path+".Group", "is missing, which is treated as %q", settings.GroupAll)
	}
	if class.KeyTTLMs == 0 {
		c.warn(path+".KeyTtlMs", "is 0 or missing: no request of the class is repeated once it may have been executed")
	}
}

func (c *checker) checkPlans(plans []settings.Plan) {
	const path = settingsPath + ".Contracts"
	if len(plans) == 0 {
		c.failMissing(path, "at least one plan: each request names a plan")
		return
	}
	names := make([]string, len(plans))
	for i := range plans {
		names[i] = plans[i].Name
		c.checkPlan(&plans[i], elementPath(path, i))
	}
	c.checkNames(path, names, func(i int) string { return elementPath(path, i) + ".Name" })
}

func (c *checker) checkPlan(plan *settings.Plan, path string) {
	if plan.UnitsPerS > 0 && plan.Burst == 0 {
		c.warn(path+".Burst", "is 0 or missing: every request is over the quota")
	}
	if plan.UnitsPerS == 0 && plan.Burst > 0 {
		c.warn(path+".Burst", "is %g but has no effect: UnitsPerS is 0, which means no quota", plan.Burst)
	}
	if plan.HardRate > 0 && plan.HardRate < plan.UnitsPerS {
		c.warn(path+".HardRate", "is %g, a ceiling below the quota UnitsPerS, %g", plan.HardRate, plan.UnitsPerS)
	}
	if plan.HardRate > 0 && plan.CeilingBurst == 0 && plan.Tolerance == 0 {
		c.warn(path+".CeilingBurst", "is 0 or missing, as is Tolerance: the ceiling rejects every request")
	}
	if plan.HardRate == 0 && plan.CeilingBurst > 0 {
		c.warn(path+".CeilingBurst", "is %g but has no effect: HardRate is 0, which means no ceiling", plan.CeilingBurst)
	}
	if plan.Pays == 0 {
		c.warn(path+".Pays", "is 0 or missing: requests of the plan have no value")
	}
	if plan.OverWorth > 1 {
		c.fail(path+".OverWorth", "is %g, want a share from 0 to 1", plan.OverWorth)
	}
}

func (c *checker) checkLimits(limits *settings.Limits) {
	const path = settingsPath + ".Limits"
	if limits.RetryAfter && limits.MaxRetryAfterMs == 0 {
		c.warn(path+".MaxRetryAfterMs", "is 0 or missing, though RetryAfter is true")
	}
	if limits.SendCap == 0 && c.has(path+".SendCap") {
		c.warn(path+".SendCap", "is 0, which means no limit on attempts")
	}
	if limits.MostHeld == 0 && c.has(path+".MostHeld") {
		c.warn(path+".MostHeld", "is 0, which means no limit on open requests")
	}
}

func (c *checker) checkReport(report *settings.Report) {
	const path = settingsPath + ".Report"
	const off = "off"
	c.checkChoice(path+".How", report.How, true, "inline", "on_probe", off)
	c.checkNames(path+".Columns", report.Columns, func(i int) string { return elementPath(path+".Columns", i) })
	if report.How != "" && report.How != off && len(report.Columns) == 0 {
		c.warn(path+".Columns", "is empty or missing, though How is %q", report.How)
	}
}

func (c *checker) checkSafety(safety *settings.Safety) {
	const path = settingsPath + ".Safety"
	if safety.ColdFrom > 1 {
		c.fail(path+".ColdFrom", "is %g, want a share from 0 to 1", safety.ColdFrom)
	}
	if safety.WarmWithinMs == 0 {
		return // endpoints have no slow start
	}
	if safety.FallMultiple == 0 {
		c.warn(path+".FallMultiple", "is 0 or missing, though WarmWithinMs is %g", safety.WarmWithinMs)
	}
	if safety.FallMs == 0 {
		c.warn(path+".FallMs", "is 0 or missing, though WarmWithinMs is %g", safety.WarmWithinMs)
	}
}
