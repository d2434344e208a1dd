package soak

import "time"

// usualTransit is the longest time that a request takes in a run without faults that delay it.
const usualTransit = 300 * time.Millisecond

// floodTransit is the longest time that a connection waits until the gateway has closed others and accepts it.
const floodTransit = time.Second

// transit returns the longest time that a request takes in the run from its client until its gateway has read it. The
// gateway cannot know that time, so it cannot subtract it from the time that the client has left.
func (p *Plan) transit() time.Duration {
	longest := usualTransit
	for _, fault := range p.Faults {
		switch fault.Kind {
		case PauseGateways:
			longest += pauseLength
		case LeaveDuringPause:
			longest += leavePause
		case FailAccept:
			longest += fault.Length / failedCallsDivisor
		case IdleFlood, PipeliningCrowd:
			longest += floodTransit
		}
	}
	return longest
}
