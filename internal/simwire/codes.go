package simwire

// EventCode tells which event a record holds.
type EventCode uint8

// The event codes, each with its name on the page that describes the wire.
const (
	EventStart              EventCode = 0  // Begin: an instance starts
	EventEndpointUpdate     EventCode = 1  // PeersKnown: what discovery tells of the endpoints
	EventRequest            EventCode = 2  // Submit: a client's request has arrived
	EventResponseStarted    EventCode = 3  // Opened: a streamed answer has begun
	EventAttemptFinished    EventCode = 4  // Finished: an attempt has ended
	EventClientDisconnected EventCode = 5  // ClientLeft: the request is closed
	EventTimerFired         EventCode = 6  // Reminder: a timer is due
	EventHealthCheckResult  EventCode = 7  // StatusBack: the answer to a health check
	EventPeerMessage        EventCode = 8  // Message: what another instance has sent
	EventStop               EventCode = 9  // Down: an instance has been terminated
	EventCounterResult      EventCode = 10 // Total: the answer of the counter service

	recordEndpointTable EventCode = 11 // Table: endpoints that later updates refer to; it makes no Event
)

// Status tells how an attempt, a health check or a call of the counter service ended.
type Status uint8

// The statuses. Only after Rejected, ConnectFailed and NotSent is it certain that the request was not executed.
const (
	StatusOK            Status = 10
	StatusServerError   Status = 20 // the endpoint answered with an error
	StatusRejected      Status = 30 // full: the endpoint turned it away unread
	StatusTimedOut      Status = 40
	StatusConnectFailed Status = 50
	StatusReset         Status = 60 // the connection broke
	StatusCancelled     Status = 70
	StatusNotSent       Status = 80 // moot: the simulator did not send it
)

// valid reports whether the wire defines the status.
func (s Status) valid() bool { return s >= StatusOK && s <= StatusNotSent && s%10 == 0 }

// UpdateKind tells what an EventEndpointUpdate holds.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	UpdateDelta  UpdateKind = 0 // the entries that have changed
	UpdateFull   UpdateKind = 1 // the whole list
	UpdateCached UpdateKind = 2 // the whole list as the instance last had it, which may be old
	UpdateFailed UpdateKind = 3 // no entries: a call of discovery failed
)

// EndpointState tells what an endpoint list says of an endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointRemoved  EndpointState = 0 // gone; only in deltas
	EndpointReady    EndpointState = 1
	EndpointDraining EndpointState = 2 // completes its work and takes no more
)

// actionCode tells which action a record holds.
type actionCode uint8

// The action codes, each with its name on the page that describes the wire.
const (
	actionForward        actionCode = 0  // Send
	actionReject         actionCode = 1  // Refuse
	actionFail           actionCode = 2  // ReportFailure
	actionCancelAttempt  actionCode = 3  // CallOff
	actionStartTimer     actionCode = 4  // SetTimer
	actionHealthCheck    actionCode = 5  // HealthCheck
	actionCloseIdle      actionCode = 6  // HangUp
	actionSendToPeer     actionCode = 7  // Tell
	actionLog            actionCode = 8  // Emit
	actionReportPanic    actionCode = 9  // BailOut
	actionWatchEndpoints actionCode = 10 // Track
	actionFetchEndpoints actionCode = 11 // Resolve
	actionAddToCounter   actionCode = 12 // Add
)
