package measure

import (
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// quota determines for each try whether it is inside the quota of its customer, from the true state of the whole
// deployment.
type quota struct {
	settled bool // the scenario corrects charges to the true units
	ledger  *model.Ledger
}

func newQuota(scenario *emulator.Scenario) *quota {
	return &quota{settled: scenario.Meter.Settled, ledger: model.NewLedger(scenario.Plans)}
}

// charge charges a try whose first attempt has reached an endpoint, and reports whether it is inside the quota.
func (q *quota) charge(now time.Duration, t *try) bool {
	return q.ledger.Take(now, t.request.customer, t.request.plan, t.units)
}

// settle corrects the charge of a try inside the quota to the true units, which are known after the first successful
// response.
func (q *quota) settle(t *try) {
	if q.settled && t.inQuota {
		q.ledger.Settle(t.request.customer, t.request.plan, t.trueUnits-t.units)
	}
}

func (q *quota) attemptReceived(req *request) { q.ledger.BeginAttempt(req.customer, req.plan) }

func (q *quota) attemptEnded(req *request) { q.ledger.EndAttempt(req.customer, req.plan) }

// singleGateway is a hypothetical gateway that sees all first tries. It admits the requests that are inside the quotas
// and executes each of them immediately for the mean work of its class, so that the admitted requests do not depend on
// the gateways of the run.
type singleGateway struct {
	scenario       *emulator.Scenario
	ledger         *model.Ledger
	executingUntil map[policy.CustomerID][]time.Duration // when the executions of a customer's admitted requests end
}

func newSingleGateway(scenario *emulator.Scenario) *singleGateway {
	return &singleGateway{
		scenario:       scenario,
		ledger:         model.NewLedger(scenario.Plans),
		executingUntil: make(map[policy.CustomerID][]time.Duration),
	}
}

// admits reports whether the first try of a request is inside the quota of its customer.
func (g *singleGateway) admits(now time.Duration, submitted *emulator.RequestSubmitted) bool {
	customer, plan := submitted.Customer, submitted.Plan
	if g.scenario.Plans[plan].MaxConcurrent <= 0 {
		return g.ledger.Take(now, customer, plan, submitted.Units)
	}
	g.executingUntil[customer] = slices.DeleteFunc(g.executingUntil[customer], func(end time.Duration) bool {
		ended := end <= now
		if ended {
			g.ledger.EndAttempt(customer, plan)
		}
		return ended
	})
	admitted := g.ledger.Take(now, customer, plan, submitted.Units)
	if admitted {
		work := float64(g.scenario.Classes[submitted.Class].Work) * submitted.Units
		g.executingUntil[customer] = append(g.executingUntil[customer], now+time.Duration(work))
		g.ledger.BeginAttempt(customer, plan)
	}
	return admitted
}
