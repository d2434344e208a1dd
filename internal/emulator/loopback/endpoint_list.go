package loopback

import (
	"encoding/json"
	"fmt"
	"time"

	"springfield/internal/emulator/model"
	"springfield/policy"
)

// listMessage is an endpoint list in discovery's JSON format: the complete list, or only the entries that have changed.
type listMessage struct {
	Version uint64            `json:"version"`
	Full    bool              `json:"full"`
	Servers []instanceMessage `json:"servers"`
}

// instanceMessage is one entry of a listMessage.
type instanceMessage struct {
	ID        string  `json:"id"`
	Address   string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// instanceKind is the kind that discovery reports for every endpoint.
const instanceKind = "loopback"

// addressLookup returns the address of an endpoint.
type addressLookup func(id policy.EndpointID) string

// newListMessage returns the message for a list. It adds clockOffset to the start times.
func newListMessage(version uint64, full bool, list []policy.Endpoint, addressOf addressLookup,
	clockOffset time.Duration) listMessage {
	message := listMessage{Version: version, Full: full, Servers: make([]instanceMessage, 0, len(list))}
	for _, endpoint := range list {
		message.Servers = append(message.Servers, instanceMessage{
			ID:        instanceID(endpoint.ID),
			Address:   addressOf(endpoint.ID),
			Zone:      model.ZoneName(endpoint.Zone),
			Kind:      instanceKind,
			Cell:      endpoint.Cell,
			State:     stateName(endpoint.State),
			Weight:    endpoint.Weight,
			StartedMS: startedMS(endpoint.StartedAt, clockOffset),
		})
	}
	return message
}

// startedMS returns a start time in milliseconds, as discovery reports it. The start time 0, which stands for an
// unknown time long ago, remains 0.
func startedMS(startedAt, clockOffset time.Duration) int64 {
	if startedAt <= 0 {
		return 0
	}
	return int64((startedAt + clockOffset) / time.Millisecond)
}

// encode returns the message as one line with a final newline, as a watch sends it.
func (m listMessage) encode() ([]byte, error) {
	line, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode the endpoint list: %w", err)
	}
	return append(line, '\n'), nil
}

func instanceID(id policy.EndpointID) string { return fmt.Sprintf("endpoint-%d", id) }

func stateName(state policy.EndpointState) string {
	switch state {
	case policy.StateReady:
		return "up"
	case policy.StateDraining:
		return "draining"
	default:
		return "removed"
	}
}
