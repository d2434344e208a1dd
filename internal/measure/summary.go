package measure

import (
	"math"
	"slices"
	"time"

	"springfield/internal/emulator"
)

// activeFault is a fault that has begun and has not ended.
type activeFault struct {
	fault     emulator.Fault
	spanIndex int // index in Recorder.faults
}

func (r *Recorder) faultChanged(at time.Duration, o emulator.FaultChanged) {
	if o.Active {
		r.activeFaults = append(r.activeFaults, activeFault{fault: o.Fault, spanIndex: len(r.faults)})
		r.faults = append(r.faults, FaultSpan{
			Kind:   o.Fault.Kind,
			Begin:  r.sinceStart(at),
			End:    math.Inf(1),
			Share:  o.Fault.Share,
			Factor: o.Fault.Factor,
			Zone:   o.Fault.Zone,
		})
		return
	}
	index := slices.IndexFunc(r.activeFaults, func(a activeFault) bool { return a.fault == o.Fault })
	if index < 0 {
		return // the end of a fault that never began
	}
	r.faults[r.activeFaults[index].spanIndex].End = r.sinceStart(at)
	r.activeFaults = slices.Delete(r.activeFaults, index, index+1)
}

func (r *Recorder) sinceStart(at time.Duration) float64 { return (at - r.start).Seconds() }

// Result ends all open requests and returns the results of the run, which has ended at the given time. The recorder
// must not be used afterwards.
func (r *Recorder) Result(end time.Duration) Result {
	end = max(end, r.lastEvent)
	r.timeline.advance(end, &r.endpoints)
	r.expireRequests(math.MaxInt64, end)
	r.timeline.endSecond(&r.endpoints)
	r.trimTimeline()
	overall := r.overall.result()
	result := Result{
		Scenario:      r.scenario.Name,
		Gateways:      r.scenario.Gateways,
		Endpoints:     r.scenario.Endpoints.Count,
		LoadSeconds:   r.scenario.Length.AsDuration().Seconds(),
		LengthSeconds: r.sinceStart(r.lastEvent),
		Requests:      overall.Requests,
		Tries:         outcomes(r.tries),
		Value:         overall.Value,
		Latency:       overall.Latency,
		Attempts:      r.attempts,

		CeilingsBroken: len(r.quota.ledger.CeilingBroken()),

		Plans:        groupResults(r.plans),
		Classes:      groupResults(r.classes),
		EndpointLoad: r.endpoints.results(end),
		Timeline:     r.timeline.seconds,
		Faults:       r.faultSpans(end),
	}
	result.Attempts.PerRequest = ratio(float64(r.attempts.Forwarded), float64(overall.Requests.Total))
	result.Attempts.PerServed = ratio(float64(r.attempts.Forwarded), float64(overall.Requests.Served.Count))
	result.Service = r.service(&result)
	return result
}

// trimTimeline removes the seconds after the last event of a request or an attempt, but none of the load.
func (r *Recorder) trimTimeline() {
	seconds := math.Ceil(max(r.scenario.Length.AsDuration().Seconds(), r.sinceStart(r.lastEvent)))
	r.timeline.seconds = r.timeline.seconds[:min(len(r.timeline.seconds), max(1, int(seconds)))]
}

func (r *Recorder) faultSpans(end time.Duration) []FaultSpan {
	spans := slices.Clone(r.faults)
	for i := range spans {
		if math.IsInf(spans[i].End, 1) {
			spans[i].End = max(spans[i].Begin, r.sinceStart(end))
		}
	}
	return spans
}

func (r *Recorder) service(result *Result) Service {
	loadSeconds := min(len(result.Timeline), max(1, int(r.scenario.Length.AsDuration()/time.Second)))
	service := Service{
		Whole:           result.Value.Share,
		WorstTenSeconds: worstWindow(result.Timeline[:loadSeconds]),
		WorstClass:      1,
		WorstPlan:       1,
	}
	for i := range result.Classes {
		service.WorstClass = min(service.WorstClass, result.Classes[i].Value.Share)
	}
	for i := range result.Plans {
		service.WorstPlan = min(service.WorstPlan, result.Plans[i].Value.ShareInQuota)
	}
	return service
}
