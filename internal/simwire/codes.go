package simwire

// EventCode identifies the event that a record holds.
type EventCode uint8

// The event codes. Each comment states the protocol's name of the code.
const (
	EventStart              EventCode = 0  // an instance starts (protocol: Begin)
	EventEndpointUpdate     EventCode = 1  // discovery has reported endpoints (protocol: PeersKnown)
	EventRequest            EventCode = 2  // a client's request has arrived (protocol: Submit)
	EventResponseStarted    EventCode = 3  // a streamed response has started (protocol: Opened)
	EventAttemptFinished    EventCode = 4  // an attempt has ended (protocol: Finished)
	EventClientDisconnected EventCode = 5  // the client has left, which closes the request (protocol: ClientLeft)
	EventTimerFired         EventCode = 6  // a timer has fired (protocol: Reminder)
	EventHealthCheckResult  EventCode = 7  // a health check has ended (protocol: StatusBack)
	EventPeerMessage        EventCode = 8  // another instance has sent a message (protocol: Message)
	EventStop               EventCode = 9  // an instance has been terminated (protocol: Down)
	EventCounterResult      EventCode = 10 // the counter service has answered (protocol: Total)

	// recordEndpointTable marks a table of endpoints to which later updates refer (protocol: Table). Decoding it
	// produces no Event.
	recordEndpointTable EventCode = 11
)

// Status describes how an attempt, a health check or a call of the counter service ended.
type Status uint8

// The statuses. Only StatusRejected, StatusConnectFailed and StatusNotSent guarantee that the request was not executed.
const (
	StatusOK            Status = 10
	StatusServerError   Status = 20 // the endpoint responded with an error
	StatusRejected      Status = 30 // the endpoint was full and rejected the request unread (protocol: full)
	StatusTimedOut      Status = 40
	StatusConnectFailed Status = 50
	StatusReset         Status = 60 // the connection broke
	StatusCancelled     Status = 70
	StatusNotSent       Status = 80 // the simulator did not send the attempt (protocol: moot)
)

// valid reports whether the protocol defines the status.
func (s Status) valid() bool { return s >= StatusOK && s <= StatusNotSent && s%10 == 0 }

// UpdateKind describes the contents of an EventEndpointUpdate.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	UpdateDelta  UpdateKind = 0 // the update holds only the changed entries
	UpdateFull   UpdateKind = 1 // the update holds the full list
	UpdateCached UpdateKind = 2 // the update holds the full list that the instance last had, which may be stale
	UpdateFailed UpdateKind = 3 // the update holds no entries because a call to discovery failed
)

// EndpointState is the state of an endpoint in an endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointRemoved  EndpointState = 0 // the endpoint has been removed; occurs only in an UpdateDelta
	EndpointReady    EndpointState = 1
	EndpointDraining EndpointState = 2 // the endpoint completes open requests and accepts no new ones
)

// actionCode identifies the action that a record holds.
type actionCode uint8

// The action codes. Each comment states the protocol's name of the code.
const (
	actionForward        actionCode = 0  // protocol: Send
	actionReject         actionCode = 1  // protocol: Refuse
	actionFail           actionCode = 2  // protocol: ReportFailure
	actionCancelAttempt  actionCode = 3  // protocol: CallOff
	actionStartTimer     actionCode = 4  // protocol: SetTimer
	actionHealthCheck    actionCode = 5  // protocol: HealthCheck
	actionCloseIdle      actionCode = 6  // protocol: HangUp
	actionSendToPeer     actionCode = 7  // protocol: Tell
	actionLog            actionCode = 8  // protocol: Emit
	actionReportPanic    actionCode = 9  // protocol: BailOut
	actionWatchEndpoints actionCode = 10 // protocol: Track
	actionFetchEndpoints actionCode = 11 // protocol: Resolve
	actionAddToCounter   actionCode = 12 // protocol: Add
)
