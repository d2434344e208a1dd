package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"springfield/internal/emulator"
	"springfield/policy"
)

// serverTestStart is the Unix time at which the schedulers of the tests start.
const serverTestStart = 1_700_000_000 * time.Second

// serverTest is a server that records when and with which result its jobs end.
type serverTest struct {
	*Server
	scheduler *emulator.VirtualScheduler
	ends      map[int]serverTestEnd // by job number
}

// serverTestEnd is the end of a job.
type serverTestEnd struct {
	after  time.Duration // since serverTestStart
	result JobResult
}

func newServerTest(spec ServerSpec) *serverTest {
	scheduler := emulator.NewVirtualScheduler(serverTestStart)
	server := NewServer(spec, scheduler, rand.New(rand.NewPCG(1, 2)))
	return &serverTest{Server: server, scheduler: scheduler, ends: map[int]serverTestEnd{}}
}

// submitAt schedules the submission of a job. The test fails if Done is called before Submit has returned.
func (s *serverTest) submitAt(t rapid.TB, after time.Duration, number int, work time.Duration) {
	t.Helper()
	s.scheduler.After(after, func() {
		submitting := true
		s.Submit(Job{Work: work, Done: func(result JobResult) {
			if submitting {
				t.Errorf("job %d: Done was called before Submit returned", number)
			}
			s.ends[number] = serverTestEnd{s.scheduler.Now() - serverTestStart, result}
		}})
		submitting = false
	})
}

func (s *serverTest) run() { s.scheduler.RunUntil(serverTestStart + time.Hour) }

// expectEnd checks the result of a job and, to a microsecond, the time of its end since serverTestStart.
func (s *serverTest) expectEnd(t *testing.T, number int, after time.Duration, result JobResult) {
	t.Helper()
	got, ok := s.ends[number]
	if deviation := got.after - after; !ok || got.result != result ||
		deviation < -time.Microsecond || deviation > time.Microsecond {
		t.Errorf("job %d ended with %+v (ended: %v), want %v after %v", number, got, ok, result, after)
	}
}

func TestServerSharesCoresThenQueuesThenRejects(t *testing.T) {
	s := newServerTest(ServerSpec{Endpoints: emulator.Endpoints{Cores: 2, Slots: 3, WaitingRoom: 2}, Speed: 2})
	for number := range 6 {
		s.submitAt(t, 0, number, 300*time.Millisecond)
	}
	s.run()
	for number := range 3 { // three jobs share two cores of speed 2
		s.expectEnd(t, number, 225*time.Millisecond, JobServed)
	}
	for number := 3; number < 5; number++ { // the two jobs that waited get a core each after that
		s.expectEnd(t, number, 375*time.Millisecond, JobServed)
	}
	s.expectEnd(t, 5, 0, JobRejected)
}

func TestServerStartsWaitingRequestsInOrder(t *testing.T) {
	s := newServerTest(ServerSpec{Endpoints: emulator.Endpoints{Cores: 1, Slots: 1, WaitingRoom: 9}})
	for number := range 4 {
		s.submitAt(t, time.Duration(number)*time.Millisecond, number, time.Duration(10-number)*time.Millisecond)
	}
	s.run()
	for number, after := range []time.Duration{10, 19, 27, 34} {
		s.expectEnd(t, number, after*time.Millisecond, JobServed)
	}
}

// TestServerMatchesReferenceProcessorSharing compares the server's incremental processor sharing with a direct
// simulation that advances all jobs from one event to the next.
func TestServerMatchesReferenceProcessorSharing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cores := rapid.IntRange(1, 4).Draw(t, "cores")
		works := rapid.SliceOfN(rapid.IntRange(0, 500), 1, 30).Draw(t, "work in ms")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 200), len(works), len(works)).Draw(t, "gaps in ms")
		s := newServerTest(ServerSpec{Endpoints: emulator.Endpoints{Cores: cores, Slots: len(works)}})
		arrivals := make([]float64, len(works))
		at := 0
		for number, work := range works {
			at += gaps[number]
			arrivals[number] = float64(at)
			s.submitAt(t, time.Duration(at)*time.Millisecond, number, time.Duration(work)*time.Millisecond)
		}
		s.run()
		for number, want := range referenceSharing(float64(cores), arrivals, works) {
			got := float64(s.ends[number].after) / float64(time.Millisecond)
			if s.ends[number].result != JobServed || math.Abs(got-want) > 1e-3 {
				t.Errorf("job %d ended at %v ms, want %v ms", number, got, want)
			}
		}
	})
}

// referenceSharing simulates processor sharing step by step and returns when the jobs end, in milliseconds.
func referenceSharing(cores float64, arrivals []float64, works []int) []float64 {
	endTimes := make([]float64, len(works))
	remaining := map[int]float64{}
	now, arrived := 0.0, 0
	for arrived < len(works) || len(remaining) > 0 {
		speed := min(1, cores/float64(max(1, len(remaining))))
		next := math.Inf(1)
		if arrived < len(works) {
			next = arrivals[arrived]
		}
		for _, work := range remaining {
			next = min(next, now+work/speed)
		}
		for number := range remaining {
			remaining[number] -= (next - now) * speed
			if remaining[number] <= 1e-7 {
				endTimes[number] = next
				delete(remaining, number)
			}
		}
		now = next
		for arrived < len(works) && arrivals[arrived] <= now {
			remaining[arrived] = float64(works[arrived])
			arrived++
		}
	}
	return endTimes
}

func TestRequestQueueIsFirstInFirstOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue requestQueue
		added, taken := 0, 0
		for _, add := range rapid.SliceOfN(rapid.Bool(), 0, 200).Draw(t, "add or take") {
			switch {
			case add:
				queue.push(&request{job: Job{Gateway: added}})
				added++
			case queue.len() > 0:
				if got := queue.pop().job.Gateway; got != taken {
					t.Fatalf("popped request %d, want %d", got, taken)
				}
				taken++
			}
			if queue.len() != added-taken {
				t.Fatalf("queue length %d, want %d", queue.len(), added-taken)
			}
		}
	})
}

func TestServerWorksSlowerWhileWarmingUpAndSlowedDown(t *testing.T) {
	s := newServerTest(ServerSpec{
		WarmUp:    emulator.WarmUp{InitialCapacity: 0.2, Duration: emulator.Duration(10 * time.Second)},
		StartedAt: serverTestStart,
	})
	s.submitAt(t, 0, 0, 6*time.Second)               // 10 s at a mean capacity share of (0.2 + 1) / 2
	s.submitAt(t, 11*time.Second, 1, 2*time.Second)  // the endpoint is warm
	s.submitAt(t, 20*time.Second, 2, 10*time.Second) // 5 s of its work at full speed, the rest four times slower
	s.scheduler.After(25*time.Second, func() { s.SetSlowdown(4) })
	s.run()
	s.expectEnd(t, 0, 10*time.Second, JobServed)
	s.expectEnd(t, 1, 13*time.Second, JobServed)
	s.expectEnd(t, 2, 45*time.Second, JobServed)
}

func TestServerDrainsStopsAndStartsCold(t *testing.T) {
	s := newServerTest(ServerSpec{
		ID: 7, Zone: 2, Cell: 3,
		WarmUp: emulator.WarmUp{InitialCapacity: 0.5, Duration: emulator.Duration(time.Minute)},
	})
	s.submitAt(t, 0, 0, time.Second)
	s.scheduler.After(0, s.Drain)
	s.submitAt(t, 500*time.Millisecond, 1, time.Second)
	s.scheduler.RunUntil(serverTestStart + 2*time.Second)
	s.expectEnd(t, 0, time.Second, JobServed)
	s.expectEnd(t, 1, 500*time.Millisecond, JobRejected)
	if s.State() != policy.StateDraining || s.CapacityShare() != 1 || s.Backlog() != unavailableBacklog {
		t.Errorf("draining endpoint: state %v, capacity share %v, backlog %v", s.State(), s.CapacityShare(), s.Backlog())
	}

	s.Start(s.scheduler.Now())
	s.submitAt(t, 0, 2, time.Minute)
	s.submitAt(t, time.Second, 4, time.Second) // rejected, but the process stops before it responds
	s.scheduler.After(time.Second, s.Stop)
	s.submitAt(t, 2*time.Second, 3, time.Second)
	s.run()
	if s.Up() || s.State() != policy.StateRemoved || s.Connect() {
		t.Error("a stopped endpoint is up or accepts connections")
	}
	if _, ended := s.ends[2]; ended || len(s.ends) != 2 {
		t.Errorf("a stopped endpoint answered jobs: %v", s.ends)
	}

	s.Start(s.scheduler.Now())
	want := policy.Endpoint{
		ID: 7, Weight: 1, State: policy.StateReady, Zone: 2, Cell: 3, StartedAt: s.scheduler.Now(),
	}
	if s.Endpoint() != want || s.CapacityShare() != 0.5 || s.Backlog() != 0 {
		t.Errorf("after a restart: endpoint %+v, capacity share %v, backlog %v", s.Endpoint(), s.CapacityShare(), s.Backlog())
	}
}

func TestServerReturnsErrorsAndStaysSilent(t *testing.T) {
	s := newServerTest(ServerSpec{Endpoints: emulator.Endpoints{LoadReports: true}})
	s.SetErrorShare(1)
	s.submitAt(t, 0, 0, time.Second)
	s.scheduler.RunUntil(serverTestStart + time.Second)
	s.expectEnd(t, 0, time.Second, JobError)
	want := policy.LoadReport{Present: true, Latency: 1, Rate: 1, Errors: 1}
	if got := s.Load(); got != want {
		t.Errorf("load report %+v, want %+v", got, want)
	}

	s.SetErrorShare(0)
	s.SetSilent(true)
	s.submitAt(t, 0, 1, time.Second)
	s.scheduler.RunUntil(serverTestStart + 3*time.Second)
	s.SetSilent(false)
	s.submitAt(t, 0, 2, time.Second)
	s.run()
	if _, ended := s.ends[1]; ended {
		t.Error("a silent endpoint has answered a job")
	}
	s.expectEnd(t, 2, 4*time.Second, JobServed)
}

func TestServerLimitsConnectionsAndChargesHandshakes(t *testing.T) {
	s := newServerTest(ServerSpec{Endpoints: emulator.Endpoints{
		MaxConnections: 2, HandshakeWork: emulator.Duration(100 * time.Millisecond),
	}})
	opened := []bool{s.Connect(), s.Connect(), s.Connect()}
	s.Disconnect()
	opened = append(opened, s.Connect(), s.Connect())
	if want := []bool{true, true, false, true, false}; !slices.Equal(opened, want) {
		t.Errorf("opened %v, want %v", opened, want)
	}
	s.submitAt(t, 0, 0, 100*time.Millisecond) // shares the core with three handshakes
	s.run()
	s.expectEnd(t, 0, 400*time.Millisecond, JobServed)
	s.Start(s.scheduler.Now())
	opened = []bool{s.Connect(), s.Connect(), s.Connect()}
	if want := []bool{true, true, false}; !slices.Equal(opened, want) {
		t.Errorf("opened %v after a restart, want %v", opened, want)
	}
}

func TestServerBacklogCountsRunningAndWaitingWork(t *testing.T) {
	s := newServerTest(ServerSpec{Endpoints: emulator.Endpoints{Cores: 2, Slots: 2, WaitingRoom: 9}})
	var backlogs []time.Duration
	for range 4 {
		backlogs = append(backlogs, s.Backlog())
		s.Submit(Job{Work: time.Second})
	}
	if want := []time.Duration{0, 0, 500 * time.Millisecond, time.Second}; !slices.Equal(backlogs, want) {
		t.Errorf("backlogs %v, want %v", backlogs, want)
	}
	s.scheduler.RunUntil(serverTestStart + 1500*time.Millisecond) // two jobs are complete and two half complete
	if got := s.Backlog(); got != 250*time.Millisecond {
		t.Errorf("backlog %v, want 250 ms", got)
	}
	if load := s.Load(); load.Present {
		t.Errorf("load report %+v without LoadReports", load)
	}
}

func TestServerFailsWhenOverloadedDuringWarmUp(t *testing.T) {
	spec := ServerSpec{
		Endpoints: emulator.Endpoints{Cores: 2, Slots: 2},
		WarmUp: emulator.WarmUp{
			InitialCapacity: 0.5, Duration: emulator.Duration(100 * time.Second),
			OverloadFactor: 2, OverloadWindow: emulator.Duration(4 * time.Second),
		},
		MeanWork:  time.Second,
		StartedAt: serverTestStart,
	}
	// At the start N = 2 x 2 cores x 0.5 x 4 s / 1 s = 8, so that the endpoint fails beyond N + 2 sqrt(N) + 2 = 15.66
	// requests.
	submit := func(s *serverTest, count int) {
		for number := range count {
			s.Submit(Job{Work: time.Second, Informed: number%4 != 0})
		}
	}
	t.Run("at the bound", func(t *testing.T) {
		s := newServerTest(spec)
		s.OnOverload = func(float64) { t.Error("OnOverload was called") }
		submit(s, 15)
		s.scheduler.RunUntil(serverTestStart + 4*time.Second)
		submit(s, 15) // the first requests have left the window
		s.scheduler.RunUntil(serverTestStart + 5*time.Second)
		if !s.Up() {
			t.Error("endpoint has failed")
		}
	})
	t.Run("over the bound", func(t *testing.T) {
		s := newServerTest(spec)
		var shares []float64
		s.OnOverload = func(share float64) { shares = append(shares, share) }
		submit(s, 16)
		if s.Up() || len(shares) != 0 {
			t.Errorf("up %v, informed shares %v before the scheduler has run", s.Up(), shares)
		}
		s.run()
		if !slices.Equal(shares, []float64{0.75}) {
			t.Errorf("informed shares %v, want one of 0.75", shares)
		}
	})
	t.Run("warm", func(t *testing.T) {
		s := newServerTest(spec)
		s.OnOverload = func(float64) { t.Error("OnOverload was called") }
		s.scheduler.RunUntil(serverTestStart + 100*time.Second)
		submit(s, 100)
		s.run()
	})
}

func TestSlowStartTimeIsTheInverseOfWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := slowStart{
			initial:   rapid.Float64Range(0, 1).Draw(t, "initial"),
			duration:  time.Duration(rapid.IntRange(1, 60_000).Draw(t, "duration in ms")) * time.Millisecond,
			startedAt: serverTestStart,
		}
		from := serverTestStart + time.Duration(rapid.IntRange(0, 90_000).Draw(t, "from in ms"))*time.Millisecond
		length := time.Duration(rapid.IntRange(1, 90_000).Draw(t, "length in ms")) * time.Millisecond
		seconds := start.timeForWork(from, start.workBetween(from, from+length))
		if math.Abs(seconds-length.Seconds()) > 1e-6 {
			t.Errorf("timeForWork returned %v s for the work of %v", seconds, length)
		}
	})
}
