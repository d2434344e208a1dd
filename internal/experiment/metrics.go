package experiment

// Metric is a number computed from a run, by which versions are compared.
type Metric struct {
	Name         string
	HigherBetter bool
	value        func(record *Record) float64
}

// Metrics returns the metrics by which versions are compared, in the order in which they are shown.
func Metrics() []Metric {
	return []Metric{
		{"service", true, func(r *Record) float64 { return r.Result.Service.Whole }},
		{"service, worst 10 s", true, func(r *Record) float64 { return r.Result.Service.WorstTenSeconds }},
		{"service, worst class", true, func(r *Record) float64 { return r.Result.Service.WorstClass }},
		{"service, worst plan", true, func(r *Record) float64 { return r.Result.Service.WorstPlan }},
		{"served share", true, func(r *Record) float64 { return r.Result.Requests.Served.Share }},
		{"rejected share", false, func(r *Record) float64 { return r.Result.Requests.Rejected.Share }},
		{"failed share", false, func(r *Record) float64 { return r.Result.Requests.Failed.Share }},
		{"missing share", false, func(r *Record) float64 { return r.Result.Requests.Missing.Share }},
		{"over-quota price", false, func(r *Record) float64 { return r.Result.Value.OverQuotaPrice }},
		{"latency p50, ms", false, func(r *Record) float64 { return r.Result.Latency.P50 }},
		{"latency p99, ms", false, func(r *Record) float64 { return r.Result.Latency.P99 }},
		{"attempts per served", false, func(r *Record) float64 { return r.Result.Attempts.PerServed }},
		{"new connections", false, func(r *Record) float64 { return float64(r.Result.Attempts.NewConnections) }},
		{"endpoint overloads", false, endpointOverloads},
		{"rules broken", false, rulesBroken},
	}
}

// Value returns the value of the metric for a run.
func (m *Metric) Value(record *Record) float64 { return m.value(record) }

func endpointOverloads(record *Record) float64 {
	var overloads int
	for i := range record.Result.EndpointLoad {
		overloads += record.Result.EndpointLoad[i].Overloads
	}
	return float64(overloads)
}

func rulesBroken(record *Record) float64 {
	var broken int
	for _, rule := range record.Rules.Violations {
		broken += rule.Count
	}
	return float64(broken)
}
