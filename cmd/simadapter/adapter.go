package main

import (
	"fmt"

	"springfield/internal/settings"
	"springfield/internal/simwire"
)

// adapter holds the simulated gateway instances of this process. They share only the reply.
type adapter struct {
	instances map[uint32]*instance
	reply     simwire.Reply
}

func newAdapter() *adapter {
	return &adapter{instances: map[uint32]*instance{}}
}

// unknownInstanceError reports an event for an instance that has not been started or has been stopped.
type unknownInstanceError struct {
	instance uint32
	index    int // index of the event in its batch
	code     simwire.EventCode
}

// Error names the instance and the event.
func (e *unknownInstanceError) Error() string {
	return fmt.Sprintf("event %d of the batch (code %d) is for unknown instance %d", e.index, e.code, e.instance)
}

// handleBatch dispatches the events of a batch to their instances in order. The reply then holds the actions.
func (a *adapter) handleBatch(batch *simwire.Batch) error {
	a.reply.Reset()
	now := settings.Duration(batch.ClockMs)
	for i := range batch.Events {
		event := &batch.Events[i]
		if event.Code == simwire.EventStart {
			a.instances[event.Instance] = newInstance(event, &a.reply)
		}
		target := a.instances[event.Instance]
		if target == nil {
			return &unknownInstanceError{instance: event.Instance, index: i, code: event.Code}
		}
		if event.Code == simwire.EventStop {
			delete(a.instances, event.Instance)
			continue
		}
		target.handleEvent(now, event)
	}
	return nil
}
