package policy

import "time"

// customer is what the gateway knows of one customer (paper, Table I).
type customer struct {
	id       CustomerID
	plan     *Plan
	overuse  *overuseStats // of the plan
	setSize  float64       // gateways that carry the customer
	inSet    bool          // this gateway is one of them
	lastSeen time.Duration // last event of any kind
	active   bool          // forwarded something since the manager's last pass

	hasReading  bool
	meteredRate float64       // last reading of the usage over all gateways, units a second
	meteredAt   time.Duration // when it came
	averagedAt  time.Duration // up to which period readings are in avgUsage
	avgUsage    float64       // the paper's b̂, units a second

	updatedAt         time.Duration // up to where the buckets are refilled and drained
	fleetBucket       tokenBucket   // quota left over all gateways, drained by metered usage
	gatewayBucket     tokenBucket   // this gateway's observed share of the quota, drained by own units
	estimatedBucket   tokenBucket   // quota left over all gateways, estimated from own units
	ceilingBucket     tokenBucket   // this gateway's even share of the ceiling, if there is one
	lastEstimate      float64       // what the last request took from estimatedBucket
	rejectProbability float64       // the design's p

	draw        float64       // last random draw for a request of unknown usage, 0 for none
	drawnAt     time.Duration // when it was drawn
	recentUnits float64       // units forwarded from here, a sum that decays over the meter's lag
	laggedUnits float64       // the same, as late as the meter and averaged for longer
	laggedUsage float64       // the metered usage over that time

	lastRelease  time.Duration // when the last held request leaves
	openRequests int           // forwarded and not finished
	heldRequests int
}

// customerFor returns the customer of a request, new ones with full quota buckets.
func (e *Engine) customerFor(now time.Duration, in *Request) *customer {
	c := e.customers[in.Customer]
	if c == nil {
		c = e.newCustomer(now, in)
		e.customers[in.Customer] = c
		e.customerList = append(e.customerList, c)
		e.manager.totalQuota += c.plan.QuotaRate
		e.manager.peakUsage = max(e.manager.peakUsage, e.manager.totalQuota)
	}
	c.lastSeen = now
	return c
}

func (e *Engine) newCustomer(now time.Duration, in *Request) *customer {
	plan, stats := &Plan{}, &e.overuse.plans[len(e.cfg.Plans)]
	if in.Plan >= 0 && in.Plan < len(e.cfg.Plans) {
		plan, stats = &e.cfg.Plans[in.Plan], &e.overuse.plans[in.Plan]
	}
	gateways, size := max(1, e.cfg.GatewayCount), max(1, in.SetSize)
	position := ((e.cfg.GatewayIndex-in.SetFirst)%gateways + gateways) % gateways // in the set, counted round
	c := &customer{
		id: in.Customer, plan: plan, overuse: stats, setSize: float64(size), inSet: position < size, updatedAt: now,
		fleetBucket: tokenBucket{plan.Burst}, estimatedBucket: tokenBucket{plan.Burst},
	}
	// This gateway's share of the ceiling was empty when the engine started, for that may be a restart, and
	// has filled since: nothing was forwarded. The sum of all shares stays below the ceiling.
	filled := plan.CeilingRate * (now - e.startedAt).Seconds()
	c.ceilingBucket.tokens = min(plan.CeilingBurst, filled) / c.setSize
	c.gatewayBucket.tokens = e.gatewayBurst(c)
	return c
}
