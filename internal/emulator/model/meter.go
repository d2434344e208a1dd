package model

import (
	"math"
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// usageStepsPerQuota is how finely answers tell the usage: in whole percent.
const usageStepsPerQuota = 100

// Meter adds up each customer's use over all gateways, period by period. What it has added up for a period is known
// some time after the end of the period, drawn for each period from Meter.DelayMin to Meter.DelayMax.
//
// Source: PROTOCOL (Usage-Percent) and WIRE (FleetUse, Extra.UsePeriodMs). Use is in units, times are Unix time;
// periods begin at multiples of the period.
type Meter struct {
	spec     emulator.Meter
	random   *rand.Rand
	silent   bool
	started  bool
	end      time.Duration // of the present period
	current  usageByCustomer
	pending  []meterPeriod // finished, not yet known, in order
	known    usageByCustomer
	hasKnown bool
}

type usageByCustomer map[policy.CustomerID]float64

type meterPeriod struct {
	usage   usageByCustomer
	knownAt time.Duration
}

// NewMeter returns a meter. Without a Period there is none, and it reads nothing.
func NewMeter(spec emulator.Meter, random *rand.Rand) *Meter {
	return &Meter{spec: spec, random: random, current: usageByCustomer{}}
}

// Record adds to a customer's use.
func (m *Meter) Record(now time.Duration, customer policy.CustomerID, units float64) {
	if m.spec.Period <= 0 {
		return
	}
	m.advance(now)
	m.current[customer] += units
}

// Reading returns a customer's use in the last period that is known, as a share of what its rate, in units a second,
// allows in a period, in whole percent. It returns false if there is nothing to tell: no meter, no period known yet,
// no rate, or the meter is silent.
func (m *Meter) Reading(now time.Duration, customer policy.CustomerID, rate float64) (share float64, ok bool) {
	if m.spec.Period <= 0 {
		return 0, false
	}
	m.advance(now)
	if !m.hasKnown || m.silent || rate <= 0 {
		return 0, false
	}
	share = m.known[customer] / (rate * m.spec.Period.AsDuration().Seconds())
	return math.Round(share*usageStepsPerQuota) / usageStepsPerQuota, true
}

// SetSilent makes answers carry no usage. The meter goes on counting.
func (m *Meter) SetSilent(silent bool) { m.silent = silent }

// advance finishes periods that are over and takes over those that have become known.
func (m *Meter) advance(now time.Duration) {
	period := m.spec.Period.AsDuration()
	if !m.started {
		m.started = true
		m.end = now - now%period + period
	}
	for m.end <= now {
		m.pending = append(m.pending, meterPeriod{usage: m.current, knownAt: m.end + m.drawDelay()})
		m.current = usageByCustomer{}
		m.end += period
	}
	for index := len(m.pending) - 1; index >= 0; index-- {
		if m.pending[index].knownAt <= now {
			m.known, m.hasKnown = m.pending[index].usage, true
			m.pending = m.pending[index+1:]
			return
		}
	}
}

func (m *Meter) drawDelay() time.Duration {
	spread := m.spec.DelayMax.AsDuration() - m.spec.DelayMin.AsDuration()
	if spread <= 0 {
		return m.spec.DelayMin.AsDuration()
	}
	return m.spec.DelayMin.AsDuration() + time.Duration(m.random.Int64N(int64(spread)+1))
}
