// Package simwire implements the simulator's wire protocol. It decodes frames into batches of events and encodes
// actions as reply frames.
package simwire

import "springfield/internal/settings"

// Batch is a frame of events that all occur at the same time.
type Batch struct {
	ClockMs float64 // time of the events, in milliseconds
	Events  []Event
}

// Event is one record of a batch. Each event sets Code and Instance; the comments state which events set the other
// fields. Where the protocol calls a field by another name, the field's comment states that name.
type Event struct {
	Code     EventCode
	Instance uint32 // ID of the instance that receives the event (protocol: Node)

	// EventStart sets Seed and Settings.
	Seed     uint64             // seed of the instance's random number generator (protocol: InitSeed)
	Settings *settings.Settings // settings of the deployment (protocol: Info)

	// EventEndpointUpdate sets TableID, UpdateKind, Version and Endpoints.
	TableID    uint32     // number of the table that holds the entries (protocol: RosterId); unused for UpdateFailed
	UpdateKind UpdateKind // contents of the update (protocol: Kind)
	Version    uint64     // version of the endpoint list
	Endpoints  []Endpoint // entries of the table at this event; events share the slice, so it must not be modified

	// EventRequest sets all fields from RequestID to Flags. EventResponseStarted, EventAttemptFinished and
	// EventClientDisconnected also set RequestID.
	RequestID  uint32  // ID of the request (protocol: Job)
	Class      uint16  // index into the classes of the settings (protocol: TierClass)
	Plan       uint16  // index into the plans of the settings (protocol: Tier)
	Customer   uint64  // ID of the customer (protocol: Caller)
	TimeLeftMs float64 // time until the client gives up, in milliseconds (protocol: RemainingMs)
	Units      float32 // units that the request takes from the quota (protocol: Weight)
	SetSize    float32 // number of instances that may receive the customer's requests (protocol: Width)
	SetFirst   float32 // index of the first instance that may receive the customer's requests (protocol: FromNo)
	Flags      uint16  // flags of the request (protocol: Bits)

	// EventAttemptFinished sets all fields from Attempt to LoadReport. EventResponseStarted sets Attempt, EndpointID
	// and LatencyMs. EventHealthCheckResult sets all but Attempt. EventCounterResult sets Status and LatencyMs.
	Attempt    uint8     // number of the attempt within its request (protocol: Try)
	Status     Status    // result of the attempt or call
	EndpointID uint32    // ID of the endpoint (protocol: Server)
	LatencyMs  float64   // duration in milliseconds (protocol: TimeTakenMs)
	LoadReport []float32 // values of the report columns in the settings (protocol: ServerStats)

	// EventAttemptFinished also sets Usage, ActualUnits and RequestDone.
	Usage       uint16 // 1 + the customer's use of its quota in percent, or 0 if it is not metered (protocol: FleetUse)
	ActualUnits uint16 // actual units of the request if the settings have TruedUp (protocol: Cost)
	RequestDone bool   // whether the request is closed (protocol: DoneFlag)

	// EventTimerFired sets Token.
	Token uint64 // token that was passed to StartTimer (protocol: Mark)

	// EventCounterResult also sets CounterName and CounterValue.
	CounterName  uint64  // name of the counter (protocol: EntryName)
	CounterValue float32 // value of the counter, valid only with StatusOK (protocol: Reading)

	// EventPeerMessage sets Sender and Message.
	Sender  uint32 // index of the instance that sent the message (protocol: Author)
	Message []byte // contents of the message (protocol: Msg)
}

// Endpoint is an entry of an endpoint list.
type Endpoint struct {
	ID          uint32 // ID of the endpoint (protocol: Server)
	Weight      float32
	State       EndpointState // state of the endpoint (protocol: Readiness)
	Zone        uint8         // index into the zones of the settings (protocol: RegionPart)
	Cell        uint16
	MachineType uint16  // machine type of the endpoint (protocol: FamilyType)
	StartedAtMs float64 // clock time of the last start in milliseconds; 0 means long ago (protocol: UpSinceMs)
}
