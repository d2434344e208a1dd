package policy

import "time"

// customer is the state of a customer at this gateway, as in Table I of Li and Jamin.
type customer struct {
	id          CustomerID
	plan        *Plan
	planOveruse *overuseStats // statistics on the usage over quota of the plan
	setSize     float64       // number of gateways that serve the customer
	inSet       bool          // this gateway is one of those that serve the customer
	lastSeen    time.Duration // arrival of the last request
	active      bool          // a request was forwarded since the last pass of the bandwidth manager

	hasReading  bool          // the last reading of the meter is valid
	meteredRate float64       // last reading of the usage over all gateways, in units per second
	meteredAt   time.Duration // arrival of the last reading
	avgUsageAt  time.Duration // time up to which readings are included in avgUsage
	avgUsage    float64       // smoothed usage over all gateways, in units per second; b̂ of Li and Jamin

	updatedAt          time.Duration // time up to which the averages and buckets are updated
	meteredBucket      tokenBucket   // quota left over all gateways, drained by metered usage
	gatewayBucket      tokenBucket   // this gateway's share of the quota by usage, drained by its units
	estimatedBucket    tokenBucket   // quota left over all gateways, estimated from units admitted here
	ceilingBucket      tokenBucket   // this gateway's even share of the ceiling, drained by the requests sent
	reservedUnits      float64       // units of admitted requests that ceilingBucket still holds
	lastEstimatedUnits float64       // units of the last admitted request, scaled from this gateway to all
	rejectProbability  float64       // probability that a request is rejected while meteredBucket is empty

	admissionDraw   float64       // last random draw for a request of unknown usage; 0: none
	admissionDrawAt time.Duration // time of admissionDraw
	recentUnits     float64       // units forwarded here, a sum that decays over the meter lag
	laggedUnits     float64       // units forwarded here, delayed like the meter and averaged over several lags
	laggedUsage     float64       // metered usage, averaged over the same time as laggedUnits

	lastReleaseAt  time.Duration // time at which the last delayed request leaves the queue
	openRequests   int           // requests forwarded and not finished
	queuedRequests int           // requests in the queue
	wasForwarded   bool          // a request was forwarded, so that there is usage to remember
}

// customerExcessDivisor is the excess over Config.MaxCustomers, one in customerExcessDivisor, at which
// customers are evicted together. This keeps the cost of each new customer constant.
const customerExcessDivisor = 4

// customerFor returns the customer of a request. A new customer starts with full quota buckets.
func (e *Engine) customerFor(now time.Duration, req *Request) *customer {
	c := e.customers[req.Customer]
	if c == nil {
		e.evictExcessCustomers()
		c = e.newCustomer(now, req)
		e.customers[req.Customer] = c
		e.customerList = append(e.customerList, c)
		e.bandwidth.totalQuota += c.plan.QuotaRate
		e.bandwidth.peakUsage = max(e.bandwidth.peakUsage, e.bandwidth.totalQuota)
	}
	c.lastSeen = now
	return c
}

// newCustomer returns the initial state of a customer. A plan that is not configured has neither quota nor
// ceiling.
func (e *Engine) newCustomer(now time.Duration, req *Request) *customer {
	plan, stats := &Plan{}, &e.overuse.plans[len(e.cfg.Plans)]
	if req.Plan >= 0 && req.Plan < len(e.cfg.Plans) {
		plan, stats = &e.cfg.Plans[req.Plan], &e.overuse.plans[req.Plan]
	}
	gateways, size := max(1, e.cfg.GatewayCount), max(1, req.SetSize)
	position := ((e.cfg.GatewayIndex-req.SetFirst)%gateways + gateways) % gateways // index in the customer's set
	c := &customer{
		id: req.Customer, plan: plan, planOveruse: stats, setSize: float64(size),
		inSet: position < size, updatedAt: now,
		meteredBucket: tokenBucket{plan.Burst}, estimatedBucket: tokenBucket{plan.Burst},
	}
	// The engine's start may be a restart after which earlier usage is unknown, so this gateway's share of the
	// ceiling counts as empty at that time. It has filled since, because nothing was forwarded. This keeps the
	// sum of the shares of all gateways below the ceiling.
	filled := plan.CeilingRate * (now - e.startedAt).Seconds()
	c.ceilingBucket.tokens = min(plan.CeilingBurst, filled) / c.setSize
	c.gatewayBucket.tokens = e.gatewayBurst(c)
	return c
}

// evictExcessCustomers evicts idle customers once there are too many, so that a client that sends requests
// under ever new names takes a bounded amount of memory. Customers without a forwarded request go first: they
// have no usage, and a flood of names consists of them.
func (e *Engine) evictExcessCustomers() {
	limit := e.cfg.MaxCustomers
	if limit <= 0 || len(e.customerList) < limit+limit/customerExcessDivisor {
		return
	}
	excess := e.evictCustomers(len(e.customerList)-limit, func(c *customer) bool { return !c.wasForwarded })
	e.evictCustomers(excess, func(*customer) bool { return true })
}

// evictCustomers evicts idle customers for which mayEvict holds, in order of arrival. It returns how many of
// the given number are left.
func (e *Engine) evictCustomers(count int, mayEvict func(*customer) bool) (left int) {
	kept := e.customerList[:0]
	for _, c := range e.customerList {
		if count > 0 && c.isIdle() && mayEvict(c) {
			count--
			delete(e.customers, c.id)
			e.bandwidth.totalQuota -= c.plan.QuotaRate
			continue
		}
		kept = append(kept, c)
	}
	clear(e.customerList[len(kept):])
	e.customerList = kept
	return count
}

// isIdle reports whether a customer has no open request and a full ceiling bucket. An evicted customer may
// return with a full one.
func (c *customer) isIdle() bool {
	ceilingFull := c.plan.CeilingRate <= 0 || c.ceilingBucket.tokens >= c.ceilingCapacity()
	return c.openRequests == 0 && c.queuedRequests == 0 && ceilingFull
}
