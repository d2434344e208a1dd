package discovery

import "time"

const (
	// unlistedRetention is how long the start of an endpoint that has left the list is remembered. The endpoint may return
	// after a network partition without having restarted.
	unlistedRetention = 5 * time.Minute

	// maxUnlistedStarts bounds the number of remembered starts of unlisted endpoints. An endpoint whose start is not
	// remembered counts as just started when it is listed again, which is the safe assumption.
	maxUnlistedStarts = 8192
)

// maxClockOffset is the largest difference between this machine's wall clock and those of the endpoints that is
// tolerated. The clock may be stepped by seconds or by an hour, and two such steps may add up.
const maxClockOffset = 2*time.Hour + 5*time.Minute

// startTimes tracks when the listed endpoints started, on the gateway's monotonic clock.
//
// Discovery gives start times by the wall clocks of other machines, and this machine's wall clock may be wrong when the
// process starts and may be stepped while it runs. An endpoint that has just started must not count as warm, because it
// would be overloaded, and an endpoint that has run for long must not count as just started for an hour. A start time
// therefore identifies a start, and it is used as a time only where no clock error matters: an endpoint that started
// more than maxClockOffset ago has started long ago. Any other start counts from when this process first learns of it.
// That is never too early. It is too late by the delay of discovery or, for a new process, by the age of the endpoint,
// which then has its full share once the warm-up time has passed on the monotonic clock.
type startTimes struct {
	listed   map[string]startRecord
	unlisted map[string]startRecord
}

// clockReading is a point in time on both clocks of this machine: the monotonic clock, which the policy uses, and the
// wall clock, which may be wrong.
type clockReading struct {
	monotonic time.Duration
	wall      time.Time
}

// startRecord describes the latest known start of an endpoint.
type startRecord struct {
	startedMS   int64         // start time as given by discovery; identifies the start
	countedFrom time.Duration // when the start was first seen; 0 means long ago
	unlistedAt  time.Duration // when the endpoint left the list; set only for unlisted endpoints
}

func newStartTimes() startTimes {
	return startTimes{listed: map[string]startRecord{}, unlisted: map[string]startRecord{}}
}

// record stores the start time of a listed endpoint and returns the monotonic time at which the endpoint counts as
// started. 0 means long ago.
func (s *startTimes) record(now clockReading, name string, startedMS int64) time.Duration {
	if startedMS <= 0 {
		s.listed[name] = startRecord{}
		return 0
	}
	known, ok := s.listed[name]
	if !ok {
		known, ok = s.unlisted[name]
		delete(s.unlisted, name)
	}
	switch {
	case !ok && now.wall.Sub(time.UnixMilli(startedMS)) > maxClockOffset:
		known = startRecord{startedMS: startedMS}
	case !ok, known.startedMS != startedMS: // a start that is new to this process counts from now
		known = startRecord{startedMS: startedMS, countedFrom: now.monotonic}
	}
	s.listed[name] = known
	return known.countedFrom
}

// markUnlisted records that an endpoint has left the list. Its start is remembered if it is known and
// fewer than maxUnlistedStarts are remembered already.
func (s *startTimes) markUnlisted(now time.Duration, name string) {
	known, ok := s.listed[name]
	if !ok {
		return
	}
	delete(s.listed, name)
	if known.startedMS == 0 || len(s.unlisted) >= maxUnlistedStarts {
		return
	}
	known.unlistedAt = now
	s.unlisted[name] = known
}

// expireUnlisted drops the starts of endpoints that have been unlisted for longer than unlistedRetention.
func (s *startTimes) expireUnlisted(now time.Duration) {
	for name, known := range s.unlisted {
		if now-known.unlistedAt > unlistedRetention {
			delete(s.unlisted, name)
		}
	}
}
