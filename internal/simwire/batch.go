// Package simwire is the codec of the simulator's wire. It decodes frames into batches of events and encodes actions
// as reply frames. It makes no decisions.
package simwire

import "springfield/internal/settings"

// Batch is a frame of events that all happen at the same time.
type Batch struct {
	ClockMs float64 // in milliseconds
	Events  []Event
}

// Event is one record of a batch. Code and Instance are set in each event; the comments tell which events have the
// other fields. A name in parentheses is the field's name on the page that describes the wire.
type Event struct {
	Code     EventCode
	Instance uint32 // instance that the event is for (Node)

	// EventStart.
	Seed     uint64             // for the instance's random numbers (InitSeed)
	Settings *settings.Settings // (Info)

	// EventEndpointUpdate.
	TableID    uint32     // table that holds the entries (RosterId); without meaning for UpdateFailed
	UpdateKind UpdateKind // (Kind)
	Version    uint64     // of the endpoint list
	Endpoints  []Endpoint // entries of the table as of this event; shared with other events, not to be changed

	// EventRequest. RequestID is also in EventResponseStarted, EventAttemptFinished and EventClientDisconnected.
	RequestID  uint32  // (Job)
	Class      uint16  // index in the settings' classes (TierClass)
	Plan       uint16  // index in the settings' plans (Tier)
	Customer   uint64  // (Caller)
	TimeLeftMs float64 // until the client gives up, in milliseconds (RemainingMs)
	Units      float32 // units of the quota that the request takes (Weight)
	SetSize    float32 // instances that may receive the customer's requests (Width)
	SetFirst   float32 // index of the first of them (FromNo)
	Flags      uint16  // (Bits)

	// EventResponseStarted, EventAttemptFinished and, but for Attempt, EventHealthCheckResult.
	// Status and LatencyMs are also in EventCounterResult.
	Attempt    uint8     // number of the attempt within its request (Try)
	Status     Status    // not in EventResponseStarted
	EndpointID uint32    // (Server)
	LatencyMs  float64   // in milliseconds (TimeTakenMs)
	LoadReport []float32 // values of the settings' report columns (ServerStats); not in EventResponseStarted

	// EventAttemptFinished.
	Usage       uint16 // 1 + the customer's use of its quota in percent; 0: not metered (FleetUse)
	ActualUnits uint16 // where the settings say TruedUp (Cost)
	RequestDone bool   // the request is closed (DoneFlag)

	// EventTimerFired.
	Token uint64 // as given to StartTimer (Mark)

	// EventCounterResult.
	CounterName  uint64  // (EntryName)
	CounterValue float32 // valid with StatusOK (Reading)

	// EventPeerMessage.
	Sender  uint32 // index of the instance that sent it (Author)
	Message []byte // (Msg)
}

// Endpoint is an entry of an endpoint list.
type Endpoint struct {
	ID          uint32 // (Server)
	Weight      float32
	State       EndpointState // (Readiness)
	Zone        uint8         // index in the settings' zones (RegionPart)
	Cell        uint16
	MachineType uint16  // (FamilyType)
	StartedAtMs float64 // clock time of the latest start in milliseconds; 0: long ago (UpSinceMs)
}
