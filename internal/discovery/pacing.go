package discovery

import (
	"time"

	"springfield/internal/settings"
)

// polledDiscovery is the value of the setting Discovery where lists are sent on request only, by a discovery service
// that is shared by the fleet. Otherwise lists are pushed to an agent on the gateway's own machine.
const polledDiscovery = "on_request"

const (
	// notifiedAfter is how long after a change a gateway counts as notified of it, whether or not it was
	// (PROTOCOL-springfield.md, Figures). The time counts from when discovery had the change and could be reached or,
	// for what a broken watch missed, from when the watch fell silent (FLEET.md).
	notifiedAfter = 6 * time.Second

	// pauseShare is the share of the time left until notifiedAfter that a pause may take. The call needs the rest.
	pauseShare = 0.8

	// maxPause bounds any pause: the share of notifiedAfter where nothing else has used part of it.
	maxPause = time.Duration(pauseShare * float64(notifiedAfter))

	// maxMigrationPause bounds the time from SIGHUP to the first call at a new address, rereads of the configuration
	// included. The list there counts as notified 4 s after SIGHUP (FLEET.md); the rest is for the call.
	maxMigrationPause = 2 * time.Second
)

const (
	// minInitialBackoff and minMaxBackoff are the lower limits of the two bounds in Pacing, for fleets of any size.
	minInitialBackoff = 50 * time.Millisecond
	minMaxBackoff     = time.Second

	// callInterval is the average interval at which the calls of the whole fleet reach a shared discovery service.
	callInterval = 75 * time.Millisecond

	// drainGraceShare is the share of the setting Safety.DrainGraceMs that a pause may take where lists are pushed.
	// What the agent receives during a pause counts as notified at once (FLEET.md), and requests to an endpoint that
	// drains have to stop within that time (WIRE-springfield.md).
	drainGraceShare = 0.25

	// pollShare is the share of the setting Safety.AskWithinMs that a pause may take. A gateway that has not called a
	// polled discovery service for that time counts as notified of what was listed before (WIRE-springfield.md).
	pollShare = 0.8

	// failedPollFactor multiplies Safety.AskWithinMs after a call that has failed (WIRE-springfield.md).
	failedPollFactor = 4
)

// Pacing bounds the pauses before calls to discovery.
type Pacing struct {
	shared         bool          // one discovery service serves the fleet; even the first call is spread out
	initialBackoff time.Duration // bound of the pause after a broken watch and after the first failure
	maxBackoff     time.Duration // bound of the pause after many failures
}

// PacingFor returns the pacing that the settings require.
func PacingFor(s *settings.Settings) Pacing {
	if s.Discovery == polledDiscovery {
		return sharedPacing(s)
	}
	return agentPacing(s)
}

// agentPacing is the pacing of calls to an agent on the gateway's own machine. They cost nothing, but the gateway
// counts as notified of all that the agent has.
func agentPacing(s *settings.Settings) Pacing {
	p := Pacing{initialBackoff: minInitialBackoff, maxBackoff: minMaxBackoff}
	if bound := settings.Duration(drainGraceShare * s.Safety.DrainGraceMs); bound > 0 {
		p.maxBackoff = min(p.maxBackoff, max(p.initialBackoff, bound))
	}
	return p
}

// sharedPacing is the pacing of calls to a discovery service that serves the fleet. They are spread over a time that
// grows with the fleet, within what Safety.AskWithinMs and notifiedAfter leave.
func sharedPacing(s *settings.Settings) Pacing {
	p := Pacing{shared: true}
	p.initialBackoff = max(minInitialBackoff, time.Duration(s.Balancers)*callInterval)
	p.maxBackoff = max(minMaxBackoff, 2*p.initialBackoff)
	if bound := settings.Duration(pollShare * s.Safety.AskWithinMs); bound > 0 {
		p.initialBackoff = max(minInitialBackoff, min(p.initialBackoff, bound))
		p.maxBackoff = max(minMaxBackoff, min(p.maxBackoff, failedPollFactor*bound))
	}
	p.initialBackoff, p.maxBackoff = min(p.initialBackoff, maxPause), min(p.maxBackoff, maxPause)
	return p
}

// boundAtStart bounds the pause before the first call of a new process. Without a list the gateway cannot serve, so
// only one that has a list waits for its turn in full; Run treats the first call without one like a migration.
func (p Pacing) boundAtStart(hasList bool) time.Duration {
	if !hasList || !p.shared {
		return 0
	}
	return p.initialBackoff
}

// boundAtMigration bounds the pause before the first call at a new address, given the time since it was asked for: the
// whole fleet migrates at once.
func (p Pacing) boundAtMigration(elapsed time.Duration) time.Duration {
	if !p.shared {
		return 0
	}
	return max(0, min(p.initialBackoff, maxMigrationPause-elapsed))
}

// boundAfterBreak bounds the pause after a watch has ended, given the time since its last line.
func (p Pacing) boundAfterBreak(silence time.Duration) time.Duration {
	return withinNotification(p.initialBackoff, silence)
}

// boundAfterFailure bounds the pause after a failed call, given its duration. Discovery may have become reachable right
// after the call began: then the call, though it was lost, has used part of the time until notifiedAfter.
func (p Pacing) boundAfterFailure(backoff, callDuration time.Duration) time.Duration {
	return withinNotification(backoff, callDuration)
}

// nextBackoff returns the bound after the next failure.
func (p Pacing) nextBackoff(backoff time.Duration) time.Duration { return min(2*backoff, p.maxBackoff) }

// withinNotification reduces a bound to what is left of notifiedAfter once part of it has been used.
func withinNotification(bound, used time.Duration) time.Duration {
	left := time.Duration(pauseShare * float64(notifiedAfter-used))
	return min(bound, max(minInitialBackoff, left))
}
