package loopback

import "testing"

// Where lists are polled, a gateway that becomes ready must not count as notified of a change that discovery had after
// the configuration of the gateway was written.
func TestReadyGatewayIsNotifiedOfItsConfiguredList(t *testing.T) {
	scenario := newScenario(testTimeout)
	scenario.Discovery.Polled = true
	options, o := newOptions(t, scenario)
	options.Gateway = "" // the gateways are started by hand, which this test does not do
	w, err := Start(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	configured := scenario.Gateways * scenario.Endpoints.Count
	if got := o.count("EndpointNotified"); got != configured {
		t.Errorf("%d notifications at the start, want %d", got, configured)
	}
	w.scheduler.Do(func() {
		w.endpoints[0].drain()
		for _, g := range w.gateways {
			g.markReady(nil)
		}
	})
	if got := o.count("EndpointNotified"); got != configured || o.count("GatewayStarted") != scenario.Gateways {
		t.Errorf("%d notifications once %d gateways are ready, want %d", got, o.count("GatewayStarted"), configured)
	}
}
