package virtual

import (
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

const (
	// backlogInterval is the time between two samples of the endpoints' backlogs. Sampling starts when an oracle first
	// asks for a past state.
	backlogInterval = 50 * time.Millisecond

	// historyLength is the greatest age of which past states are kept.
	historyLength = 2 * time.Second

	backlogSamples = int(historyLength/backlogInterval) + 1 // the samples at both ends of the history included
)

// groundTruth gives oracles the true state of the deployment. It records past states only after an oracle has first
// asked for one.
type groundTruth struct {
	world     *world
	recording bool
	backlogs  []backlogHistory // the entry at index i belongs to the endpoint with ID i + 1
	quotas    map[policy.CustomerID]*quotaHistory
}

var _ emulator.GroundTruth = (*groundTruth)(nil)

// backlogHistory is a ring buffer of the latest samples of an endpoint's backlog.
type backlogHistory struct {
	samples [backlogSamples]time.Duration
	count   int // samples since the start of the recording, overwritten ones included
}

// quotaHistory holds the units that a customer had left after each of its latest uses of the quota.
type quotaHistory struct{ samples []quotaSample }

type quotaSample struct {
	recordedAt time.Duration
	unitsLeft  float64
}

func newGroundTruth(w *world) *groundTruth {
	return &groundTruth{world: w, quotas: map[policy.CustomerID]*quotaHistory{}}
}

func (t *groundTruth) addEndpoint() { t.backlogs = append(t.backlogs, backlogHistory{}) }

// Backlog implements emulator.GroundTruth. An age beyond the recorded history returns the oldest sample.
func (t *groundTruth) Backlog(id policy.EndpointID, age time.Duration) time.Duration {
	e := t.world.endpoint(id)
	if e == nil {
		return 0
	}
	if age > 0 {
		t.startRecording()
	}
	history := &t.backlogs[id-1]
	samplesBack := min(int(age/backlogInterval), backlogSamples-1, history.count-1)
	if age <= 0 || samplesBack < 0 {
		return e.server.Backlog()
	}
	return history.samples[(history.count-1-samplesBack)%backlogSamples]
}

// startRecording starts the recording of past states unless it has started already.
func (t *groundTruth) startRecording() {
	if t.recording {
		return
	}
	t.recording = true
	t.sampleBacklogs()
}

func (t *groundTruth) sampleBacklogs() {
	for i := range t.backlogs {
		history := &t.backlogs[i]
		history.samples[history.count%backlogSamples] = t.world.endpoints[i].server.Backlog()
		history.count++
	}
	t.world.scheduler.After(backlogInterval, t.sampleBacklogs)
}

// QuotaLeft implements emulator.GroundTruth.
func (t *groundTruth) QuotaLeft(customer policy.CustomerID, plan int, age time.Duration) float64 {
	now := t.world.scheduler.Now()
	if age <= 0 {
		return t.world.ledger.Left(now, customer, plan)
	}
	t.startRecording()
	planSpec := &t.world.scenario.Plans[plan]
	history := t.quotas[customer]
	if history == nil {
		return planSpec.Burst
	}
	asOf := now - age
	for i := len(history.samples) - 1; i >= 0; i-- {
		if sample := history.samples[i]; sample.recordedAt <= asOf {
			return min(planSpec.Burst, sample.unitsLeft+planSpec.Rate*(asOf-sample.recordedAt).Seconds())
		}
	}
	return planSpec.Burst
}

// recordQuota records the units that a customer has left after a use of its quota.
func (t *groundTruth) recordQuota(customer policy.CustomerID, plan int) {
	if !t.recording {
		return
	}
	now := t.world.scheduler.Now()
	history := t.quotas[customer]
	if history == nil {
		history = &quotaHistory{}
		t.quotas[customer] = history
	}
	history.discardBefore(now - historyLength)
	unitsLeft := t.world.ledger.Left(now, customer, plan)
	history.samples = append(history.samples, quotaSample{recordedAt: now, unitsLeft: unitsLeft})
}

// discardBefore removes the samples up to the given time, except the latest of them, which determines the quota at that
// time.
func (h *quotaHistory) discardBefore(oldest time.Duration) {
	keepFrom := 0
	for keepFrom+1 < len(h.samples) && h.samples[keepFrom+1].recordedAt <= oldest {
		keepFrom++
	}
	h.samples = append(h.samples[:0], h.samples[keepFrom:]...)
}
