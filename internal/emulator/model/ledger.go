package model

import (
	"math"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// quotaTolerance absorbs rounding errors in the levels of token buckets, in units.
const quotaTolerance = 1e-9

// Ledger accounts for the quotas and ceilings of all customers over all gateways together, while a gateway sees only
// its own requests. Quotas and ceilings are token buckets that start full. A request takes its units when it is first
// sent. A request over quota takes nothing from the quota; every request takes from the ceiling. Amounts are in units,
// times are Unix time.
//
// Sources: WIRE, Contracts, rule 5; BENCH, "This kind of system".
type Ledger struct {
	plans         []emulator.Plan
	accounts      map[accountKey]*account
	latestTime    time.Duration       // latest time that the ledger has been called with
	ceilingBroken []policy.CustomerID // customers who have exceeded their ceiling, in the order of their first excess
}

// accountKey identifies an account. A customer has an account for each plan under which it sends requests.
type accountKey struct {
	customer policy.CustomerID
	plan     int
}

// account holds the quota and the ceiling of a customer.
type account struct {
	plan          *emulator.Plan
	quota         tokenBucket
	ceiling       tokenBucket
	inFlight      float64 // attempts in flight
	ceilingBroken bool    // whether the customer has ever exceeded its ceiling by more than the slack
}

// NewLedger returns a ledger in which all quotas are full.
func NewLedger(plans []emulator.Plan) *Ledger {
	return &Ledger{plans: plans, accounts: map[accountKey]*account{}}
}

// Take charges the units of a request when it is first sent, and reports whether the request is within the quota: the
// bucket holds the units, and fewer than Plan.MaxConcurrent attempts are in flight. Take does not count the attempt
// as in flight; BeginAttempt does.
func (l *Ledger) Take(now time.Duration, customer policy.CustomerID, plan int, units float64) (withinQuota bool) {
	entry := l.account(now, customer, plan)
	l.takeCeiling(entry, customer, units)
	if limit := entry.plan.MaxConcurrent; limit > 0 && entry.inFlight >= limit {
		return false
	}
	if entry.plan.Rate <= 0 {
		return true
	}
	if entry.quota.level+quotaTolerance < units {
		return false
	}
	entry.quota.level -= units
	return true
}

// takeCeiling charges the ceiling, and records the customer if that breaks the ceiling for the first time.
func (l *Ledger) takeCeiling(entry *account, customer policy.CustomerID, units float64) {
	if entry.plan.CeilingRate <= 0 {
		return
	}
	entry.ceiling.level -= units
	if !entry.ceilingBroken && entry.ceiling.level < -entry.plan.CeilingSlack-quotaTolerance {
		entry.ceilingBroken = true
		l.ceilingBroken = append(l.ceilingBroken, customer)
	}
}

// Settle corrects the charge for a request that was within the quota. The difference is its true units minus the units
// charged. The level of the quota may fall below 0, but a refund does not raise it above its burst. The ceiling is not
// corrected. The correction applies at the latest time that the ledger has been called with.
func (l *Ledger) Settle(customer policy.CustomerID, plan int, difference float64) {
	entry := l.account(l.latestTime, customer, plan)
	entry.quota.level = min(entry.quota.burst, entry.quota.level-difference)
}

// Left returns the units left in a customer's quota. They may be below 0 after a settlement, and are infinite if the
// plan has no rate.
func (l *Ledger) Left(now time.Duration, customer policy.CustomerID, plan int) float64 {
	entry := l.account(now, customer, plan)
	if entry.plan.Rate <= 0 {
		return math.Inf(1)
	}
	return entry.quota.level
}

// BeginAttempt counts an attempt in flight.
func (l *Ledger) BeginAttempt(customer policy.CustomerID, plan int) {
	l.account(l.latestTime, customer, plan).inFlight++
}

// EndAttempt counts an attempt as no longer in flight.
func (l *Ledger) EndAttempt(customer policy.CustomerID, plan int) {
	entry := l.account(l.latestTime, customer, plan)
	entry.inFlight = max(0, entry.inFlight-1)
}

// CeilingBroken returns the customers who have exceeded their ceiling by more than Plan.CeilingSlack, in the order of
// their first excess.
func (l *Ledger) CeilingBroken() []policy.CustomerID { return l.ceilingBroken }

// account returns a customer's account with its token buckets refilled up to the given time.
func (l *Ledger) account(now time.Duration, customer policy.CustomerID, plan int) *account {
	l.latestTime = max(l.latestTime, now)
	key := accountKey{customer: customer, plan: plan}
	entry := l.accounts[key]
	if entry == nil {
		planSpec := &l.plans[plan]
		entry = &account{
			plan:    planSpec,
			quota:   newTokenBucket(planSpec.Rate, planSpec.Burst, now),
			ceiling: newTokenBucket(planSpec.CeilingRate, planSpec.CeilingBurst, now),
		}
		l.accounts[key] = entry
	}
	entry.quota.refill(now)
	entry.ceiling.refill(now)
	return entry
}

// tokenBucket fills at a rate, in units a second, up to its burst.
type tokenBucket struct {
	rate    float64
	burst   float64
	level   float64
	updated time.Duration
}

func newTokenBucket(rate, burst float64, now time.Duration) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, level: burst, updated: now}
}

// refill adds the units that the bucket has gained up to the given time.
func (b *tokenBucket) refill(now time.Duration) {
	if now <= b.updated {
		return
	}
	b.level = min(b.burst, b.level+b.rate*(now-b.updated).Seconds())
	b.updated = now
}
