package measure

import (
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
)

// The time in which gateways become ready must not count as a part of the run, but observations from that time must be
// kept.
func TestLoadRecorderStartsTimelineWithTheLoad(t *testing.T) {
	scenario := model.DefaultScenario()
	recorder := NewLoadRecorder(&scenario)
	start := time.Duration(time.Now().UnixNano())
	recorder.Observe(start-5*time.Second, emulator.EndpointStarted{Endpoint: 1})
	recorder.Observe(start-4*time.Second, emulator.GatewayStarted{Gateway: 0})
	request := emulator.RequestSubmitted{Request: 1, Original: 1, Units: 1, Deadline: start + time.Second}
	recorder.Observe(start, request)
	recorder.Observe(start+100*time.Millisecond, emulator.RequestAnswered{Request: 1, Answer: emulator.AnswerRejected})
	result := recorder.Result(start + 2*time.Second)
	if result.Requests.Total != 1 || result.LengthSeconds > 1 {
		t.Errorf("%d requests in %g s, want one in 0.1 s", result.Requests.Total, result.LengthSeconds)
	}
	if len(result.EndpointLoad) != 1 || result.EndpointLoad[0].Starts != 1 {
		t.Errorf("endpoint loads are %+v, want one start", result.EndpointLoad)
	}
}
