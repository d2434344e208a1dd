package soak

import "time"

// Longest times that a request takes from its client until its gateway has read it.
const (
	usualTransit = 300 * time.Millisecond // on a busy machine
	floodTransit = time.Second            // while connections wait until the gateway has closed others
)

// transit returns the longest time that a request takes in the run from its client until its gateway has read it. The
// gateway cannot know that time, so it cannot subtract it from the time that the client has left.
func (p *Plan) transit() time.Duration {
	longest := usualTransit
	for _, fault := range p.Faults {
		switch fault.Kind {
		case PauseGateways:
			longest += pauseLength
		case FailAccept:
			longest += fault.Length / failedCallsDivisor
		case IdleFlood, PipeliningCrowd:
			longest += floodTransit
		}
	}
	return longest
}
