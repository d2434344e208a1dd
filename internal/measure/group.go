package measure

// group accumulates the results of the requests of a plan, a class or the whole run.
type group struct {
	name          string
	outcomeCounts [outcomeKinds]int64
	value         Value
	latency       latencyHistogram
}

func newGroup(name string) group {
	return group{name: name, latency: newLatencyHistogram()}
}

func (v *Value) addRequestedInQuota(value float64) {
	v.Requested += value
	v.RequestedInQuota += value
}

func (v *Value) addRequestedOverQuota(reduced float64) { v.Requested += reduced }

func (v *Value) addEarned(value float64, inQuota bool) {
	v.Earned += value
	if inQuota {
		v.EarnedInQuota += value
	}
}

func (v *Value) addOverQuotaCost(cost float64) {
	v.OverQuotaCost += cost
	v.OverQuotaTries++
}

// withShares returns the value with its derived fields.
func (v Value) withShares() Value {
	v.Share = valueShare(v.Earned, v.Requested)
	v.ShareInQuota = valueShare(v.EarnedInQuota, v.RequestedInQuota)
	v.OverQuotaPrice = ratio(v.OverQuotaCost, v.Requested)
	return v
}

func (g *group) result() Group {
	return Group{
		Name:     g.name,
		Requests: outcomes(g.outcomeCounts),
		Value:    g.value.withShares(),
		Latency:  g.latency.summary(),
	}
}

func groupResults(groups []group) []Group {
	results := make([]Group, 0, len(groups))
	for i := range groups {
		results = append(results, groups[i].result())
	}
	return results
}

func outcomes(counts [outcomeKinds]int64) Outcomes {
	total := int64(0)
	for _, count := range counts {
		total += count
	}
	outcome := func(count int64) Outcome {
		return Outcome{Count: count, Share: ratio(float64(count), float64(total))}
	}
	return Outcomes{
		Total:        total,
		Served:       outcome(counts[outcomeServed] + counts[outcomeLate]),
		Late:         outcome(counts[outcomeLate]),
		Spoilt:       outcome(counts[outcomeSpoilt]),
		Rejected:     outcome(counts[outcomeRejected]),
		Failed:       outcome(counts[outcomeFailed]),
		Missing:      outcome(counts[outcomeMissing]),
		Disconnected: outcome(counts[outcomeDisconnected]),
	}
}

// valueShare returns the share of the requested value that was earned, at most 1. It is 1 if nothing was requested.
func valueShare(earned, requested float64) float64 {
	if requested <= 0 {
		return 1
	}
	return min(1, earned/requested)
}

// ratio returns part / whole, or 0 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
