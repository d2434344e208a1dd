package soak

import (
	"slices"

	"springfield/internal/emulator"
)

// Kind names a kind of fault that a soak injects.
type Kind string

// The kinds of fault that a scenario's fault schedule does not support.
const (
	PauseGateways   Kind = "pause_gateways"   // gateway processes are suspended for 0.15 s repeatedly
	CloseLogs       Kind = "close_logs"       // the reading end of a gateway's log is closed
	StallLogs       Kind = "stall_logs"       // the pipe of a gateway's log is full and not read
	HalfConfigs     Kind = "half_configs"     // a gateway gets SIGHUP while its configuration is half written
	FailAccept      Kind = "fail_accept"      // accept calls fail
	FailConnect     Kind = "fail_connect"     // connect calls fail because of the gateway's machine
	SlowLists       Kind = "slow_lists"       // endpoint lists arrive slowly, and gateways start without one
	ClockOffset     Kind = "clock_offset"     // clocks of gateways and cold endpoints differ by up to an hour
	IdleFlood       Kind = "idle_flood"       // many connections of clients send nothing
	StalledClients  Kind = "stalled_clients"  // clients stop in the middle of a request and stay connected
	LateConnects    Kind = "late_connects"    // connections to endpoints are established late
	LostDrain       Kind = "lost_drain"       // watches fall silent, and endpoints then drain until the load ends
	HangingShutdown Kind = "hanging_shutdown" // gateways shut down while endpoints hang, before long deadlines
	SpoiltBytes     Kind = "spoilt_bytes"     // responses are truncated or stalled at any byte, trickled or sent twice
	PipeliningCrowd Kind = "pipelining_crowd" // clients pipeline requests, or send garbage after a request and disconnect
)

// The kinds of fault that are aimed at a state of a gateway which random faults rarely meet.
const (
	DrainDuringDial    Kind = "drain_during_dial"    // endpoints drain while dials to them are pending
	LeavingClients     Kind = "leaving_clients"      // clients disconnect in a dial, between attempts, or while waiting
	LeaveDuringPause   Kind = "leave_during_pause"   // clients disconnect while their gateway is suspended in dials
	RestartSurge       Kind = "restart_surge"        // all endpoints restart at once while the load doubles
	FailAfterExecution Kind = "fail_after_execution" // executed attempts fail, some at the end of their key's lifetime
	ShortDeadlines     Kind = "short_deadlines"      // requests expire during a dial or before a retry
	EvictedRequests    Kind = "evicted_requests"     // requests arrive as their gateway evicts their connections
	RequestsAtShutdown Kind = "requests_at_shutdown" // requests on kept connections cross SIGTERM
	DiscoveryBytes     Kind = "discovery_bytes"      // lists are cut, stalled, corrupted or followed by garbage
	ClientBytes        Kind = "client_bytes"         // requests arrive in pieces and in unusual forms
	ConfigReads        Kind = "config_reads"         // reads of new configurations fail, and SIGHUP comes several times
)

// scheduledKinds lists the kinds of fault that a scenario's fault schedule supports.
var scheduledKinds = []Kind{
	Kind(emulator.FaultKillGateways), Kind(emulator.FaultRestartGateways), Kind(emulator.FaultDrainEndpoints),
	Kind(emulator.FaultReplace), Kind(emulator.FaultStopEndpoints), Kind(emulator.FaultSlowEndpoints),
	Kind(emulator.FaultFailEndpoints), Kind(emulator.FaultSilentEndpoints), Kind(emulator.FaultPartition),
	Kind(emulator.FaultDiscoveryDown), Kind(emulator.FaultWatchSilence), Kind(emulator.FaultDiscoveryMoves),
	Kind(emulator.FaultLateLists), Kind(emulator.FaultResets), Kind(emulator.FaultSpoiltAnswers),
	Kind(emulator.FaultMeterSilence),
}

// randomKinds lists the kinds of fault that are not aimed at a state of a gateway.
func randomKinds() []Kind {
	return append(slices.Clone(scheduledKinds), PauseGateways, CloseLogs, StallLogs, HalfConfigs, FailAccept, FailConnect,
		SlowLists, ClockOffset, IdleFlood, StalledClients, PipeliningCrowd, LateConnects, SpoiltBytes)
}

// aimedKinds lists the kinds of fault that are aimed at a state of a gateway.
func aimedKinds() []Kind {
	return []Kind{LostDrain, HangingShutdown, DrainDuringDial, LeavingClients, RestartSurge, FailAfterExecution,
		ShortDeadlines, EvictedRequests, RequestsAtShutdown, DiscoveryBytes, ClientBytes, ConfigReads, LeaveDuringPause}
}

// Kinds returns all kinds of fault in a fixed order.
func Kinds() []Kind { return append(randomKinds(), aimedKinds()...) }

// isScheduled reports whether the scenario's fault schedule carries out faults of the kind.
func (k Kind) isScheduled() bool {
	return k == LostDrain || k == HangingShutdown || slices.Contains(scheduledKinds, k)
}

// Pair holds two different kinds of fault, in the order of Kinds.
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
