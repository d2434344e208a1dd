package model

import (
	"math"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// quotaTolerance is the part of a unit that rounding may cost.
const quotaTolerance = 1e-9

// Ledger keeps the true quotas and ceilings of all customers over all gateways together, which no gateway can see. Each
// is a token bucket that starts full. A request takes its units when it is first sent; one beyond the quota takes
// nothing from the quota, and all take from the ceiling.
//
// Source: WIRE (Contracts, rule 5) and BENCH ("This kind of system"). Amounts are in units, times are Unix time.
type Ledger struct {
	plans         []emulator.Plan
	accounts      map[accountKey]*account
	latest        time.Duration // of all times that the ledger has been given
	ceilingBroken []policy.CustomerID
}

type accountKey struct {
	customer policy.CustomerID
	plan     int
}

type account struct {
	plan          *emulator.Plan
	quota         tokenBucket
	ceiling       tokenBucket
	inFlight      float64
	ceilingBroken bool
}

// NewLedger returns a ledger in which all quotas are full.
func NewLedger(plans []emulator.Plan) *Ledger {
	return &Ledger{plans: plans, accounts: map[accountKey]*account{}}
}

// Take takes the units of a request that is first sent, and reports whether it is within the quota: the bucket holds
// the units, and fewer attempts than Plan.MaxConcurrent are in flight. The attempt itself is counted by BeginAttempt.
func (l *Ledger) Take(now time.Duration, customer policy.CustomerID, plan int, units float64) (withinQuota bool) {
	taken := l.account(now, customer, plan)
	l.takeCeiling(taken, customer, units)
	if limit := taken.plan.MaxConcurrent; limit > 0 && taken.inFlight >= limit {
		return false
	}
	if taken.plan.Rate <= 0 {
		return true
	}
	if taken.quota.level+quotaTolerance < units {
		return false
	}
	taken.quota.level -= units
	return true
}

func (l *Ledger) takeCeiling(taken *account, customer policy.CustomerID, units float64) {
	if taken.plan.CeilingRate <= 0 {
		return
	}
	taken.ceiling.level -= units
	if !taken.ceilingBroken && taken.ceiling.level < -taken.plan.CeilingSlack-quotaTolerance {
		taken.ceilingBroken = true
		l.ceilingBroken = append(l.ceilingBroken, customer)
	}
}

// Settle corrects a request that was within the quota: the difference is its true units less those taken. The quota may
// go below 0, and what is given back does not fill it over its burst. The ceiling goes by the units taken. The time is
// the latest one that the ledger has been given.
func (l *Ledger) Settle(customer policy.CustomerID, plan int, difference float64) {
	settled := l.account(l.latest, customer, plan)
	settled.quota.level = min(settled.quota.burst, settled.quota.level-difference)
}

// Left returns what is left of a customer's quota, below 0 if it was settled so, and infinite without a rate.
func (l *Ledger) Left(now time.Duration, customer policy.CustomerID, plan int) float64 {
	present := l.account(now, customer, plan)
	if present.plan.Rate <= 0 {
		return math.Inf(1)
	}
	return present.quota.level
}

// BeginAttempt counts an attempt in flight.
func (l *Ledger) BeginAttempt(customer policy.CustomerID, plan int) {
	l.account(l.latest, customer, plan).inFlight++
}

// EndAttempt counts an attempt as no more in flight.
func (l *Ledger) EndAttempt(customer policy.CustomerID, plan int) {
	ended := l.account(l.latest, customer, plan)
	ended.inFlight = max(0, ended.inFlight-1)
}

// CeilingBroken returns the customers whose ceiling has been broken, in the order in which that happened.
func (l *Ledger) CeilingBroken() []policy.CustomerID { return l.ceilingBroken }

// account returns a customer's account, filled up to the given time.
func (l *Ledger) account(now time.Duration, customer policy.CustomerID, plan int) *account {
	l.latest = max(l.latest, now)
	key := accountKey{customer: customer, plan: plan}
	found := l.accounts[key]
	if found == nil {
		contract := &l.plans[plan]
		found = &account{
			plan:    contract,
			quota:   newTokenBucket(contract.Rate, contract.Burst, now),
			ceiling: newTokenBucket(contract.CeilingRate, contract.CeilingBurst, now),
		}
		l.accounts[key] = found
	}
	found.quota.refill(now)
	found.ceiling.refill(now)
	return found
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

func (b *tokenBucket) refill(now time.Duration) {
	if now <= b.updated {
		return
	}
	b.level = min(b.burst, b.level+b.rate*(now-b.updated).Seconds())
	b.updated = now
}
