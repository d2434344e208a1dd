package discovery

import "time"

const (
	// departedMemory is for how long the start of an endpoint that has left the list is remembered. It may come back
	// after a partition without having started anew.
	departedMemory = 5 * time.Minute

	// maxDepartedStarts bounds what is remembered of endpoints that have left. One that is forgotten counts as started
	// when it is listed again, which is the safe side.
	maxDepartedStarts = 8192
)

// maxClockError is by how much this machine's wall clock may differ from that of the endpoints. The operators name
// steps of seconds and of an hour; two of these may come together.
const maxClockError = 2*time.Hour + 5*time.Minute

// startTimes tells when the listed endpoints have started, on the gateway's own clock.
//
// Discovery gives start times by the wall clock of other machines, and this machine's may be wrong when the process
// starts and be stepped while it runs. An endpoint that has just started must not count as warm, for it would be
// overloaded, nor one that has run for long as just started for an hour. A start time therefore serves as the name of a
// start, and as a time only where no error of the clock matters: an endpoint that has run for far longer than
// maxClockError has started long ago. Any other counts as started when this process first learns of it. That is never
// too early, and too late by as much as discovery takes or, for a new process, by the age of the endpoint; it then has
// its full share once the warm-up has passed on the monotonic clock.
type startTimes struct {
	listed   map[string]startRecord
	departed map[string]startRecord
}

// moment is a time on both clocks of this machine: on the policy's axis, which follows the monotonic clock, and by the
// wall clock, which may be wrong.
type moment struct {
	monotonic time.Duration
	wall      time.Time
}

// startRecord is what is known of an endpoint's latest start.
type startRecord struct {
	startedMS int64 // as discovery gives it
	learntAt  time.Duration
	unlisted  time.Duration // since when the endpoint has not been listed; of departed ones alone
}

func newStartTimes() startTimes {
	return startTimes{listed: map[string]startRecord{}, departed: map[string]startRecord{}}
}

// record returns when an endpoint that is listed with a start time has started. 0 is long ago.
func (s *startTimes) record(now moment, name string, startedMS int64) time.Duration {
	if startedMS <= 0 {
		s.listed[name] = startRecord{}
		return 0
	}
	known, ok := s.listed[name]
	if !ok {
		known, ok = s.departed[name]
		delete(s.departed, name)
	}
	switch {
	case !ok && now.wall.Sub(time.UnixMilli(startedMS)) > maxClockError:
		known = startRecord{startedMS: startedMS}
	case !ok, known.startedMS != startedMS: // a start that is new to a known endpoint has just been, whatever it says
		known = startRecord{startedMS: startedMS, learntAt: now.monotonic}
	}
	s.listed[name] = known
	return known.learntAt
}

// unlist notes that an endpoint has left the list.
func (s *startTimes) unlist(now time.Duration, name string) {
	known, ok := s.listed[name]
	if !ok {
		return
	}
	delete(s.listed, name)
	if known.startedMS == 0 || len(s.departed) >= maxDepartedStarts {
		return
	}
	known.unlisted = now
	s.departed[name] = known
}

// forget drops what has been remembered for long enough.
func (s *startTimes) forget(now time.Duration) {
	for name, known := range s.departed {
		if now-known.unlisted > departedMemory {
			delete(s.departed, name)
		}
	}
}
