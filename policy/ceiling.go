package policy

import "time"

// reserveCeiling reserves the units of an admitted request in its customer's ceiling. They are taken when the
// first attempt is sent: taken any earlier, the bucket would be refilled while the request waits, and would
// let other requests use units that this one still needs.
func (r *request) reserveCeiling() {
	if r.customer.plan.CeilingRate > 0 {
		r.ceilingReserved = true
		r.customer.reservedUnits += r.Units
	}
}

// releaseCeiling ends the reservation of a request that is sent or has its final answer.
func (r *request) releaseCeiling() {
	if r.ceilingReserved {
		r.ceilingReserved = false
		r.customer.reservedUnits -= r.Units
	}
}

// takeCeiling takes the units of a request that is sent. A further attempt takes nothing.
func (r *request) takeCeiling() {
	if r.ceilingReserved {
		r.releaseCeiling()
		r.customer.ceilingBucket.tokens -= r.Units
		r.ceilingAttempt = r.attempts
	}
}

// returnCeiling reserves the units of an attempt that never reached its endpoint, since only the next attempt
// counts. With them the bucket might have been full meanwhile, so what it has earned since is not returned.
func (e *Engine) returnCeiling(now time.Duration, r *request, status Status) {
	c := r.customer
	if c.plan.CeilingRate <= 0 || r.currentAttempt != r.ceilingAttempt || !status.neverReached() {
		return
	}
	e.updateCustomer(now, c)
	earned := c.ceilingShareRate() * (now - r.sentAt).Seconds()
	c.ceilingBucket.refill(max(0, r.Units-earned), c.ceilingCapacity())
	r.reserveCeiling()
}

// ceilingAdmissionDelay is how long a new request must wait until the ceiling covers it in addition to the
// reserved units.
func (c *customer) ceilingAdmissionDelay(units float64) time.Duration {
	return c.ceilingDelay(units + c.reservedUnits)
}

// ceilingSendDelay is how long an admitted request must still wait until the ceiling covers it. The reserved
// units may exceed the bucket's capacity, so that a request which is sent may leave too little for others. A
// request that is larger than the capacity is sent when the bucket is full.
func (e *Engine) ceilingSendDelay(now time.Duration, r *request) time.Duration {
	c := r.customer
	if !r.ceilingReserved {
		return 0
	}
	e.updateCustomer(now, c)
	return c.ceilingDelay(min(r.Units, c.ceilingCapacity()))
}

// ceilingDelay is the time in which the bucket of the ceiling earns what it lacks of the given units.
func (c *customer) ceilingDelay(units float64) time.Duration {
	if missing := units - c.ceilingBucket.tokens; c.plan.CeilingRate > 0 && missing > 0 {
		return seconds(missing / c.ceilingShareRate())
	}
	return 0
}

// ceilingShareRate is the rate of this gateway's even share of the ceiling, in units per second.
func (c *customer) ceilingShareRate() float64 { return c.plan.CeilingRate / c.setSize }

// ceilingCapacity is the capacity of this gateway's even share of the ceiling.
func (c *customer) ceilingCapacity() float64 { return c.plan.CeilingBurst / c.setSize }
