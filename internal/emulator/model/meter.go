package model

import (
	"math"
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// readingStepsPerQuota is the resolution of readings: responses carry the usage in whole percent of the quota.
const readingStepsPerQuota = 100

// Meter adds up each customer's usage over all gateways, period by period. The sums of a period become known after a
// delay from the end of the period, which is drawn for each period from Meter.DelayMin to Meter.DelayMax.
//
// Usage is in units, times are Unix time, and periods start at multiples of the period's length.
//
// Sources: PROTOCOL, Usage-Percent; WIRE, FleetUse and Extra.UsePeriodMs.
type Meter struct {
	spec      emulator.Meter
	random    *rand.Rand
	silent    bool            // whether readings are turned off
	started   bool            // whether periodEnd is set
	periodEnd time.Duration   // end of the current period
	current   usageByCustomer // usage in the current period
	pending   []meterPeriod   // periods that have ended and are not known yet, in order
	known     usageByCustomer // usage in the latest period that is known
	hasKnown  bool            // whether any period is known
}

// usageByCustomer holds the units that each customer has used in a period.
type usageByCustomer map[policy.CustomerID]float64

// meterPeriod is a period that has ended, and the time at which its usage becomes known.
type meterPeriod struct {
	usage   usageByCustomer
	knownAt time.Duration
}

// NewMeter returns a meter. A meter without a Period records nothing and has no readings.
func NewMeter(spec emulator.Meter, random *rand.Rand) *Meter {
	return &Meter{spec: spec, random: random, current: usageByCustomer{}}
}

// Record adds units to a customer's usage.
func (m *Meter) Record(now time.Duration, customer policy.CustomerID, units float64) {
	if m.spec.Period <= 0 {
		return
	}
	m.advance(now)
	m.current[customer] += units
}

// Reading returns a customer's usage in the last known period, as a share of what the rate (units a second) allows in
// a period, rounded to whole percent. It returns false if there is no reading: the meter has no Period or is silent,
// no period is known yet, or the rate is 0.
func (m *Meter) Reading(now time.Duration, customer policy.CustomerID, rate float64) (share float64, ok bool) {
	if m.spec.Period <= 0 {
		return 0, false
	}
	m.advance(now)
	if !m.hasKnown || m.silent || rate <= 0 {
		return 0, false
	}
	share = m.known[customer] / (rate * m.spec.Period.AsDuration().Seconds())
	return math.Round(share*readingStepsPerQuota) / readingStepsPerQuota, true
}

// SetSilent turns readings off or on. A silent meter still records usage.
func (m *Meter) SetSilent(silent bool) { m.silent = silent }

// advance closes the periods that have ended and adopts the sums of the latest period that has become known.
func (m *Meter) advance(now time.Duration) {
	period := m.spec.Period.AsDuration()
	if !m.started {
		m.started = true
		m.periodEnd = now - now%period + period
	}
	for m.periodEnd <= now {
		m.pending = append(m.pending, meterPeriod{usage: m.current, knownAt: m.periodEnd + m.drawDelay()})
		m.current = usageByCustomer{}
		m.periodEnd += period
	}
	for index := len(m.pending) - 1; index >= 0; index-- {
		if m.pending[index].knownAt <= now {
			m.known, m.hasKnown = m.pending[index].usage, true
			m.pending = m.pending[index+1:]
			return
		}
	}
}

// drawDelay draws the time from the end of a period until its usage is known.
func (m *Meter) drawDelay() time.Duration {
	spread := m.spec.DelayMax.AsDuration() - m.spec.DelayMin.AsDuration()
	if spread <= 0 {
		return m.spec.DelayMin.AsDuration()
	}
	return m.spec.DelayMin.AsDuration() + time.Duration(m.random.Int64N(int64(spread)+1))
}
