package model

import (
	"reflect"
	"slices"
	"testing"
)

// Guards against customers or arrivals that are drawn from the random numbers of another part of the run, which would
// correlate the load with the speeds of the endpoints or the delays of the network.
func TestWorkloadHasRandomStreamsOfItsOwn(t *testing.T) {
	const seed = 5
	scenario := DefaultScenario()
	workload := NewWorkload(&scenario, seed, testStart)
	first := slices.IndexFunc(workload.pending, func(arrival pendingArrival) bool { return arrival.customer == 0 })
	for stream := StreamServers; stream <= StreamAttempts; stream++ {
		if reflect.DeepEqual(workload.customers, newCustomers(&scenario, stream.Random(seed))) {
			t.Errorf("the customers are drawn from stream %d", stream)
		}
		other := *workload
		other.random = stream.Random(seed)
		if at, _ := other.nextSendTime(&workload.customers[0], 0); at == workload.pending[first].at {
			t.Errorf("the arrivals are drawn from stream %d", stream)
		}
	}
}
