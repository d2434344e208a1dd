package policy

import (
	"testing"
	"time"
)

// maxTestCustomers is the number of idle customers that the engines of these tests remember.
const maxTestCustomers = 100

// startBoundedGateway returns a gateway that remembers maxTestCustomers idle customers.
func startBoundedGateway() *testGateway {
	cfg := testConfig()
	cfg.MaxCustomers = maxTestCustomers
	return startTestGateway(cfg, 3)
}

// submitForCustomer submits a request of a customer that has used nothing yet. With too little time left for any
// endpoint it is rejected.
func (g *testGateway) submitForCustomer(id RequestID, customer CustomerID, timeLeft time.Duration) {
	g.engine.Submit(g.now, Request{ID: id, Plan: costlyPlan, Customer: customer, TimeLeft: timeLeft, Units: 1,
		SetSize: 2})
}

// Requests under ever new names must not make the engine remember ever more customers. Such a client made the memory
// of a gateway grow for as long as customers are remembered.
func TestCustomersAreBounded(t *testing.T) {
	gateway := startBoundedGateway()
	const flood = 50 * maxTestCustomers
	for i := range flood {
		gateway.submitForCustomer(RequestID(i+1), CustomerID(i+1), time.Nanosecond)
		engine := gateway.engine
		if len(engine.customers) > maxTestCustomers*5/4 || len(engine.customers) != len(engine.customerList) {
			t.Fatalf("%d customers in the map, %d in the list", len(engine.customers), len(engine.customerList))
		}
	}
	if answered := len(gateway.rejected) + len(gateway.forwarded); answered != flood {
		t.Errorf("%d of %d requests were rejected or forwarded", answered, flood)
	}
	want := float64(len(gateway.engine.customers)) * gateway.engine.cfg.Plans[costlyPlan].QuotaRate
	if got := gateway.engine.bandwidth.totalQuota; got != want {
		t.Errorf("the total quota is %v, want %v for the customers that are left", got, want)
	}
}

// A customer with usage, and even more one with an open request, must be remembered while requests under ever new names
// are rejected. Otherwise its quota would be full again after such a flood.
func TestFloodOfNamesDoesNotEvictUsage(t *testing.T) {
	gateway := startBoundedGateway()
	const open, served = CustomerID(1), CustomerID(2)
	gateway.submitForCustomer(1, open, time.Second)
	gateway.submitForCustomer(2, served, time.Second)
	gateway.finish(2, StatusOK, noUsage)
	if len(gateway.forwarded) != 2 {
		t.Fatalf("%d requests were forwarded, want 2", len(gateway.forwarded))
	}
	openBefore, servedBefore := gateway.engine.customers[open], gateway.engine.customers[served]
	for i := range 10 * maxTestCustomers {
		gateway.submitForCustomer(RequestID(i+10), CustomerID(i+10), time.Nanosecond)
	}
	if gateway.engine.customers[open] != openBefore || gateway.engine.customers[served] != servedBefore {
		t.Error("a customer with usage was evicted")
	}
}

// Where all customers have usage, those without an open request must be evicted, the first to arrive before the others.
func TestOldestIdleCustomersAreEvicted(t *testing.T) {
	gateway := startBoundedGateway()
	const open = CustomerID(1)
	gateway.submitForCustomer(1, open, time.Second)
	const last = 2 * maxTestCustomers
	for i := 2; i <= last; i++ {
		gateway.submitForCustomer(RequestID(i), CustomerID(i), time.Second)
		gateway.finish(RequestID(i), StatusOK, noUsage)
	}
	customers := gateway.engine.customers
	if len(customers) > maxTestCustomers*5/4 || customers[open] == nil || customers[2] != nil || customers[last] == nil {
		t.Errorf("%d customers; open %v, oldest %v, newest %v", len(customers), customers[open] != nil,
			customers[2] != nil, customers[last] != nil)
	}
}
