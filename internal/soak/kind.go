package soak

import (
	"slices"

	"springfield/internal/emulator"
)

// Kind names a kind of fault of a soak.
type Kind string

// The kinds that a scenario's fault schedule does not have.
const (
	PauseGateways   Kind = "pause_gateways"   // stopped for 0.15 s, again and again
	CloseLogs       Kind = "close_logs"       // the reader of the log leaves
	StallLogs       Kind = "stall_logs"       // nobody reads the log, and its pipe is full
	HalfConfigs     Kind = "half_configs"     // SIGHUP with a configuration that is written in halves
	FailAccept      Kind = "fail_accept"      // accept fails
	FailConnect     Kind = "fail_connect"     // connect fails for a reason of the gateway's machine
	SlowLists       Kind = "slow_lists"       // lists arrive slowly, and gateways start without one
	ClockOffset     Kind = "clock_offset"     // the wall clock of the gateways is an hour off, and all endpoints are cold
	IdleFlood       Kind = "idle_flood"       // connections that send nothing
	StalledClients  Kind = "stalled_clients"  // clients that stop inside a request and stay
	LateConnects    Kind = "late_connects"    // connections to endpoints come up late
	SpoiltBytes     Kind = "spoilt_bytes"     // responses are cut, stalled, dribbled or doubled at any byte
	PipeliningCrowd Kind = "pipelining_crowd" // clients that send much behind a request, and go or stay
)

// scheduled are the kinds of a scenario's fault schedule.
var scheduled = []Kind{
	Kind(emulator.FaultKillGateways), Kind(emulator.FaultRestartGateways), Kind(emulator.FaultDrainEndpoints),
	Kind(emulator.FaultReplace), Kind(emulator.FaultStopEndpoints), Kind(emulator.FaultSlowEndpoints),
	Kind(emulator.FaultFailEndpoints), Kind(emulator.FaultSilentEndpoints), Kind(emulator.FaultPartition),
	Kind(emulator.FaultDiscoveryDown), Kind(emulator.FaultWatchSilence), Kind(emulator.FaultDiscoveryMoves),
	Kind(emulator.FaultLateLists), Kind(emulator.FaultResets), Kind(emulator.FaultSpoiltAnswers),
	Kind(emulator.FaultMeterSilence),
}

// Kinds returns all kinds of fault.
func Kinds() []Kind {
	return append(slices.Clone(scheduled), PauseGateways, CloseLogs, StallLogs, HalfConfigs, FailAccept, FailConnect,
		SlowLists, ClockOffset, IdleFlood, StalledClients, PipeliningCrowd, LateConnects, SpoiltBytes)
}

// isScheduled reports whether the scenario's fault schedule carries out faults of the kind.
func (k Kind) isScheduled() bool { return slices.Contains(scheduled, k) }

// Pair is two kinds of fault, in the order of Kinds.
type Pair [2]Kind

// Pairs returns all pairs of different kinds.
func Pairs() []Pair {
	kinds := Kinds()
	var pairs []Pair
	for i, first := range kinds {
		for _, second := range kinds[i+1:] {
			pairs = append(pairs, Pair{first, second})
		}
	}
	return pairs
}
