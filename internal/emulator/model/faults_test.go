package model

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// faultRecorder is a FaultTarget with ten gateways and ten endpoints in two zones. It logs each call with its time.
type faultRecorder struct {
	scheduler emulator.Scheduler
	log       []string
}

func (r *faultRecorder) record(format string, arguments ...any) {
	r.log = append(r.log, fmt.Sprintf("%v ", r.scheduler.Now())+fmt.Sprintf(format, arguments...))
}

func (r *faultRecorder) Gateways() int               { return 10 }
func (r *faultRecorder) GatewayZone(gateway int) int { return gateway % 2 }

func (r *faultRecorder) Endpoints() []policy.Endpoint {
	var list []policy.Endpoint
	for number := range 10 {
		list = append(list, policy.Endpoint{ID: policy.EndpointID(number + 1), Zone: number % 2})
	}
	return list
}

func (r *faultRecorder) KillGateway(int)                             { r.record("kill") }
func (r *faultRecorder) StartGateway(int)                            { r.record("start gateway") }
func (r *faultRecorder) RestartGateway(int)                          { r.record("restart") }
func (r *faultRecorder) DrainEndpoint(policy.EndpointID)             { r.record("drain") }
func (r *faultRecorder) StopEndpoint(policy.EndpointID)              { r.record("stop") }
func (r *faultRecorder) StartEndpoint(policy.EndpointID)             { r.record("start") }
func (r *faultRecorder) AddReplacement(policy.EndpointID)            { r.record("add") }
func (r *faultRecorder) SlowEndpoint(_ policy.EndpointID, f float64) { r.record("slow %v", f) }
func (r *faultRecorder) FailEndpoint(_ policy.EndpointID, s float64) { r.record("fail %v", s) }
func (r *faultRecorder) SilenceEndpoint(_ policy.EndpointID, s bool) { r.record("silence %v", s) }
func (r *faultRecorder) PartitionEndpoint(_ policy.EndpointID, partitioned bool) {
	r.record("partition %v", partitioned)
}
func (r *faultRecorder) PartitionZone(zone int, partitioned bool) {
	r.record("partition zone %d %v", zone, partitioned)
}
func (r *faultRecorder) ResetAttempts(share float64)       { r.record("reset %v", share) }
func (r *faultRecorder) CorruptResponses(share float64)    { r.record("corrupt %v", share) }
func (r *faultRecorder) SilenceMeter(silent bool)          { r.record("meter %v", silent) }
func (r *faultRecorder) SetDiscoveryDown(down bool)        { r.record("discovery down %v", down) }
func (r *faultRecorder) SilenceWatches()                   { r.record("silence watches") }
func (r *faultRecorder) MoveDiscovery()                    { r.record("move discovery") }
func (r *faultRecorder) SetListDelayFactor(factor float64) { r.record("list delay %v", factor) }

// Observe logs the begin and the end of a fault. It implements emulator.Observer.
func (r *faultRecorder) Observe(_ time.Duration, observation emulator.Observation) {
	r.record("active %v", observation.(emulator.FaultChanged).Active)
}

func TestFaultsBeginAndEnd(t *testing.T) {
	for _, test := range []struct {
		fault emulator.Fault
		want  []string
	}{
		{emulator.Fault{Kind: emulator.FaultKillGateways, Share: 0.1}, []string{"3s kill", "7s start gateway"}},
		{emulator.Fault{Kind: emulator.FaultRestartGateways, Share: 0.2}, []string{"3s restart", "5s restart"}},
		{emulator.Fault{Kind: emulator.FaultDrainEndpoints, Share: 0.1}, []string{"3s drain", "7s stop"}},
		{
			emulator.Fault{Kind: emulator.FaultReplace, Share: 0.2},
			[]string{"3s add", "3s drain", "5s add", "5s drain", "8s stop", "10s stop"},
		},
		{emulator.Fault{Kind: emulator.FaultStopEndpoints, Share: 0.1}, []string{"3s stop", "7s start"}},
		{emulator.Fault{Kind: emulator.FaultSlowEndpoints, Share: 0.1, Factor: 3}, []string{"3s slow 3", "7s slow 1"}},
		{emulator.Fault{Kind: emulator.FaultFailEndpoints, Share: 0.1, Factor: 0.5}, []string{"3s fail 0.5", "7s fail 0"}},
		{emulator.Fault{Kind: emulator.FaultSilentEndpoints, Share: 0.1}, []string{"3s silence true", "7s silence false"}},
		{emulator.Fault{Kind: emulator.FaultPartition, Share: 0.1}, []string{"3s partition true", "7s partition false"}},
		{
			emulator.Fault{Kind: emulator.FaultPartition, Zone: 2},
			[]string{"3s partition zone 1 true", "7s partition zone 1 false"},
		},
		{emulator.Fault{Kind: emulator.FaultDiscoveryDown}, []string{"3s discovery down true", "7s discovery down false"}},
		{emulator.Fault{Kind: emulator.FaultWatchSilence}, []string{"3s silence watches"}},
		{emulator.Fault{Kind: emulator.FaultDiscoveryMoves}, []string{"3s move discovery"}},
		{emulator.Fault{Kind: emulator.FaultLateLists, Factor: 4}, []string{"3s list delay 4", "7s list delay 1"}},
		{emulator.Fault{Kind: emulator.FaultResets, Factor: 0.1}, []string{"3s reset 0.1", "7s reset 0"}},
		{emulator.Fault{Kind: emulator.FaultSpoiltAnswers, Factor: 0.1}, []string{"3s corrupt 0.1", "7s corrupt 0"}},
		{emulator.Fault{Kind: emulator.FaultMeterSilence}, []string{"3s meter true", "7s meter false"}},
	} {
		t.Run(string(test.fault.Kind), func(t *testing.T) {
			test.fault.At, test.fault.Length = emulator.Duration(3*time.Second), emulator.Duration(4*time.Second)
			want := append([]string{"3s active true", "7s active false"}, test.want...)
			slices.Sort(want)
			if got := runFault(test.fault); !reflect.DeepEqual(got, want) {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// runFault carries out a fault and returns the log of its calls, sorted.
func runFault(fault emulator.Fault) []string {
	scheduler := emulator.NewVirtualScheduler(0)
	target := &faultRecorder{scheduler: scheduler}
	scenario := emulator.Scenario{Faults: []emulator.Fault{fault}}
	ScheduleFaults(&scenario, scheduler, rand.New(rand.NewPCG(1, 1)), target, target)
	scheduler.RunUntil(time.Minute)
	slices.Sort(target.log)
	return target.log
}

func TestFaultWithAZoneAffectsTheWholeZone(t *testing.T) {
	got := runFault(emulator.Fault{Kind: emulator.FaultStopEndpoints, Zone: 1, Length: emulator.Duration(time.Second)})
	stops := 0
	for _, line := range got {
		if line == "0s stop" {
			stops++
		}
	}
	if stops != 5 {
		t.Errorf("%d of 5 endpoints were stopped: %q", stops, got)
	}
}

func TestSelectShareTakesAtLeastOneAndKeepsTheOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	items := []int{10, 20, 30, 40, 50, 60, 70, 80}
	for share, want := range map[float64]int{0: 1, 0.01: 1, 0.5: 4, 1: 8} {
		selected := selectShare(random, items, share)
		if len(selected) != want || !slices.IsSorted(selected) {
			t.Errorf("share %v selects %v, want %d items in order", share, selected, want)
		}
	}
	if selected := selectShare(random, []int(nil), 1); len(selected) != 0 {
		t.Errorf("selected %v from no items", selected)
	}
}
