package discovery

import (
	"time"

	"springfield/internal/settings"
)

// polledDiscovery is the value of the setting Discovery for which lists are sent only on request, by a discovery
// service that the whole fleet shares. With any other value, lists are pushed to an agent on the gateway's own machine.
const polledDiscovery = "on_request"

const (
	// notificationDeadline is the time after a change from which the protocol treats a gateway as notified of it, whether
	// or not it was. The time counts from when discovery had the change and was reachable or, for a change that a broken
	// watch missed, from when the watch fell silent.
	notificationDeadline = 6 * time.Second

	// pauseShare is the share of the time left until notificationDeadline that a pause may take. The rest is for the call.
	pauseShare = 0.8

	// maxPause bounds every pause: it is pauseShare of the whole notificationDeadline.
	maxPause = time.Duration(pauseShare * float64(notificationDeadline))

	// maxMigrationPause bounds the time from SIGHUP, which requests a migration, to the first call at the new address.
	// Rereads of the configuration are included. A gateway is treated as notified of the list at the new address 4 s after
	// SIGHUP; the remaining time is for the call.
	maxMigrationPause = 2 * time.Second
)

const (
	// minInitialBackoff and minMaxBackoff are the lower limits of Pacing.initialBackoff and Pacing.maxBackoff, for fleets
	// of any size.
	minInitialBackoff = 50 * time.Millisecond
	minMaxBackoff     = time.Second

	// callInterval is the average interval between calls of the whole fleet to a shared discovery service.
	callInterval = 75 * time.Millisecond

	// drainGraceShare is the share of the setting Safety.DrainGraceMs that a pause may take where lists are pushed. A
	// gateway is treated as notified at once of what its agent receives during a pause, and it must stop sending requests
	// to a draining endpoint within the drain grace.
	drainGraceShare = 0.25

	// pollShare is the share of the setting Safety.AskWithinMs that a pause may take. A gateway that has not called a
	// polled discovery service for that time is treated as notified of everything listed before.
	pollShare = 0.8

	// failedPollFactor multiplies the limit from Safety.AskWithinMs after a failed call.
	failedPollFactor = 4
)

// Pacing bounds the pauses before calls to discovery.
type Pacing struct {
	isShared       bool          // the fleet shares one discovery service, so even first calls are spread out
	initialBackoff time.Duration // bound of the pause after a broken watch or the first failure
	maxBackoff     time.Duration // upper limit of the bound after repeated failures
}

// PacingFor returns the pacing that the settings require.
func PacingFor(s *settings.Settings) Pacing {
	if s.Discovery == polledDiscovery {
		return sharedPacing(s)
	}
	return agentPacing(s)
}

// agentPacing returns the pacing of calls to an agent on the gateway's own machine. The calls are cheap, and the
// gateway is treated as notified of everything that the agent has, so the pauses are short.
func agentPacing(s *settings.Settings) Pacing {
	p := Pacing{initialBackoff: minInitialBackoff, maxBackoff: minMaxBackoff}
	if bound := settings.Duration(drainGraceShare * s.Safety.DrainGraceMs); bound > 0 {
		p.maxBackoff = min(p.maxBackoff, max(p.initialBackoff, bound))
	}
	return p
}

// sharedPacing returns the pacing of calls to a discovery service that the fleet shares. The calls are spread over a
// time that grows with the fleet, within the limits of Safety.AskWithinMs and notificationDeadline.
func sharedPacing(s *settings.Settings) Pacing {
	p := Pacing{isShared: true}
	p.initialBackoff = max(minInitialBackoff, time.Duration(s.Balancers)*callInterval)
	p.maxBackoff = max(minMaxBackoff, 2*p.initialBackoff)
	if bound := settings.Duration(pollShare * s.Safety.AskWithinMs); bound > 0 {
		p.initialBackoff = max(minInitialBackoff, min(p.initialBackoff, bound))
		p.maxBackoff = max(minMaxBackoff, min(p.maxBackoff, failedPollFactor*bound))
	}
	p.initialBackoff, p.maxBackoff = min(p.initialBackoff, maxPause), min(p.maxBackoff, maxPause)
	return p
}

// boundAtStart bounds the pause before the first call of a new process. A gateway without a list cannot serve, so only
// one that has a list pauses here. Run treats the first call without a list like a migration.
func (p Pacing) boundAtStart(hasList bool) time.Duration {
	if !hasList || !p.isShared {
		return 0
	}
	return p.initialBackoff
}

// boundAtMigration bounds the pause before the first call at a new address, given the time since the migration was
// requested. The calls are spread out because the whole fleet migrates at once.
func (p Pacing) boundAtMigration(elapsed time.Duration) time.Duration {
	if !p.isShared {
		return 0
	}
	return max(0, min(p.initialBackoff, maxMigrationPause-elapsed))
}

// boundAfterBreak bounds the pause after a watch has ended, given the time since its last line.
func (p Pacing) boundAfterBreak(sinceLastLine time.Duration) time.Duration {
	return capToNotificationDeadline(p.initialBackoff, sinceLastLine)
}

// boundAfterFailure bounds the pause after a failed call, given its duration. Discovery may have become reachable right
// after the call began, so the duration of the call counts towards notificationDeadline.
func (p Pacing) boundAfterFailure(backoff, callDuration time.Duration) time.Duration {
	return capToNotificationDeadline(backoff, callDuration)
}

// nextBackoff returns the backoff after the next failure: the given one doubled, up to maxBackoff.
func (p Pacing) nextBackoff(backoff time.Duration) time.Duration { return min(2*backoff, p.maxBackoff) }

// capToNotificationDeadline limits a bound to pauseShare of what is left of notificationDeadline after the used time,
// but not below minInitialBackoff.
func capToNotificationDeadline(bound, used time.Duration) time.Duration {
	left := time.Duration(pauseShare * float64(notificationDeadline-used))
	return min(bound, max(minInitialBackoff, left))
}
