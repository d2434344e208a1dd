package policy

import "time"

// customer is what the gateway knows of one customer (paper, Table I).
type customer struct {
	id          CustomerID
	plan        *Plan
	planOveruse *overuseStats // of the plan
	setSize     float64       // gateways that carry the customer
	inSet       bool          // this gateway is one of them
	lastSeen    time.Duration // last event of any kind
	active      bool          // forwarded something since the manager's last pass

	hasReading  bool
	meteredRate float64       // last reading of the usage over all gateways, units a second
	meteredAt   time.Duration // when it came
	avgUsageAt  time.Duration // up to which period readings are in avgUsage
	avgUsage    float64       // the paper's b̂, units a second

	updatedAt          time.Duration // up to where the buckets are refilled and drained
	meteredBucket      tokenBucket   // quota left over all gateways, drained by metered usage
	gatewayBucket      tokenBucket   // this gateway's observed share of the quota, drained by own units
	estimatedBucket    tokenBucket   // quota left over all gateways, estimated from own units
	ceilingBucket      tokenBucket   // this gateway's even share of the ceiling, if there is one
	lastEstimatedUnits float64       // what the last request took from estimatedBucket
	rejectProbability  float64       // the design's p

	admissionDraw   float64       // last random draw for a request of unknown usage, 0 for none
	admissionDrawAt time.Duration // when it was drawn
	recentUnits     float64       // units forwarded from here, a sum that decays over the meter's lag
	laggedUnits     float64       // the same, as late as the meter and averaged for longer
	laggedUsage     float64       // the metered usage over that time

	lastReleaseAt  time.Duration // when the last held request leaves
	openRequests   int           // forwarded and not finished
	queuedRequests int
}

// customerFor returns the customer of a request, new ones with full quota buckets.
func (e *Engine) customerFor(now time.Duration, req *Request) *customer {
	c := e.customers[req.Customer]
	if c == nil {
		c = e.newCustomer(now, req)
		e.customers[req.Customer] = c
		e.customerList = append(e.customerList, c)
		e.bandwidth.totalQuota += c.plan.QuotaRate
		e.bandwidth.peakUsage = max(e.bandwidth.peakUsage, e.bandwidth.totalQuota)
	}
	c.lastSeen = now
	return c
}

func (e *Engine) newCustomer(now time.Duration, req *Request) *customer {
	plan, stats := &Plan{}, &e.overuse.plans[len(e.cfg.Plans)]
	if req.Plan >= 0 && req.Plan < len(e.cfg.Plans) {
		plan, stats = &e.cfg.Plans[req.Plan], &e.overuse.plans[req.Plan]
	}
	gateways, size := max(1, e.cfg.GatewayCount), max(1, req.SetSize)
	position := ((e.cfg.GatewayIndex-req.SetFirst)%gateways + gateways) % gateways // in the set, counted round
	c := &customer{
		id: req.Customer, plan: plan, planOveruse: stats, setSize: float64(size),
		inSet: position < size, updatedAt: now,
		meteredBucket: tokenBucket{plan.Burst}, estimatedBucket: tokenBucket{plan.Burst},
	}
	// This gateway's share of the ceiling was empty when the engine started, for that may be a restart, and
	// has filled since: nothing was forwarded. The sum of all shares stays below the ceiling.
	filled := plan.CeilingRate * (now - e.startedAt).Seconds()
	c.ceilingBucket.tokens = min(plan.CeilingBurst, filled) / c.setSize
	c.gatewayBucket.tokens = e.gatewayBurst(c)
	return c
}
