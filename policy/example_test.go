package policy_test

import (
	"fmt"
	"time"

	"springfield/policy"
)

// printer implements policy.Actions by printing the engine's decisions without carrying them out.
type printer struct{}

func (printer) Forward(id policy.RequestID, endpoint policy.EndpointID, _ time.Duration) {
	fmt.Printf("forward request %d to endpoint %d\n", id, endpoint)
}

func (printer) Reject(id policy.RequestID, retryAfter time.Duration) {
	fmt.Printf("reject request %d, retry after %v\n", id, retryAfter)
}

func (printer) Fail(id policy.RequestID)               { fmt.Printf("fail request %d\n", id) }
func (printer) CancelAttempt(policy.RequestID, int)    {}
func (printer) StartTimer(time.Duration, policy.Timer) {}
func (printer) WatchEndpoints(bool)                    {}

// The quota of the customer has a burst of one unit and earns two units per second, so that the second request is
// rejected.
func Example() {
	cfg := policy.Config{
		GatewayCount: 1, SendRetryAfter: true, MaxRetryAfter: time.Second,
		Classes: []policy.Class{{LatencyObjective: 400 * time.Millisecond, PriorityWeight: 1}},
		Plans:   []policy.Plan{{QuotaRate: 2, Burst: 1, PriceFactor: 1, OverQuotaCost: 0.5}},
	}
	engine := policy.New(cfg, printer{})
	engine.Start(0)
	engine.UpdateEndpoints(0, policy.UpdateFull, []policy.Endpoint{{ID: 9, Weight: 1, State: policy.StateReady}})
	request := policy.Request{ID: 1, Customer: 7, TimeLeft: time.Second, Units: 1, SetSize: 1}
	engine.Submit(0, request)
	engine.AttemptFinished(20*time.Millisecond, policy.AttemptResult{
		Request: 1, Endpoint: 9, Latency: 20 * time.Millisecond, RequestDone: true,
	})
	request.ID = 2
	engine.Submit(30*time.Millisecond, request)
	// Output:
	// forward request 1 to endpoint 9
	// reject request 2, retry after 500ms
}
