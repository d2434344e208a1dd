package policy_test

import (
	"fmt"
	"time"

	"springfield/policy"
)

// edge is the smallest edge node: it prints what the gateway decides.
type edge struct{}

func (edge) Forward(id policy.RequestID, s policy.EndpointID, until time.Duration) {
	fmt.Printf("send request %d to server %d\n", id, s)
}
func (edge) Reject(id policy.RequestID, after time.Duration) {
	fmt.Printf("refuse request %d, try again after %v\n", id, after)
}
func (edge) Fail(id policy.RequestID)            { fmt.Printf("fail request %d\n", id) }
func (edge) CancelAttempt(policy.RequestID, int) {}
func (edge) StartTimer(time.Duration, uint64)    {}
func (edge) WatchEndpoints(bool)                 {}

func Example() {
	cfg := policy.Config{
		GatewayCount: 1, SendRetryAfter: true, MaxRetryAfter: time.Second,
		Classes: []policy.Class{{LatencyObjective: 400 * time.Millisecond, PriorityWeight: 1}},
		Plans:   []policy.Plan{{QuotaRate: 2, Burst: 1, PriceFactor: 1, OverQuotaCost: 0.5}},
	}
	gw := policy.New(cfg, edge{})
	gw.Start(0)
	gw.UpdateEndpoints(0, policy.UpdateFull, []policy.Endpoint{{ID: 9, Weight: 1, State: policy.StateReady}})
	gw.Submit(0, policy.Request{ID: 1, Customer: 7, TimeLeft: time.Second, Units: 1, SetSize: 1})
	gw.AttemptFinished(20*time.Millisecond, policy.AttemptResult{Request: 1, Endpoint: 9, Latency: 20 * time.Millisecond, RequestDone: true})
	gw.Submit(30*time.Millisecond, policy.Request{ID: 2, Customer: 7, TimeLeft: time.Second, Units: 1, SetSize: 1})
	// Output:
	// send request 1 to server 9
	// refuse request 2, try again after 500ms
}
