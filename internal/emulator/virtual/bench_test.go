package virtual

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkFleet emulates 30 s of virtual time for fleets of increasing size. The benchmark's time includes the setup
// of each run.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ gateways, endpoints int }{{10, 6}, {100, 60}, {1000, 600}} {
		b.Run(fmt.Sprintf("gateways=%d", size.gateways), func(b *testing.B) {
			var events, requests int64
			for i := range b.N {
				summary, err := Run(b.Context(), Options{
					Scenario: fleetScenario(size.gateways, size.endpoints),
					Seed:     uint64(i),
				})
				if err != nil {
					b.Fatal(err)
				}
				events += summary.Events
				requests += summary.Requests
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(float64(requests)/float64(b.N), "requests/op")
			b.ReportMetric(systemMegabytes(), "MiB-from-system")
		})
	}
}

// systemMegabytes returns how many MiB of memory the process has obtained from the operating system so far, also in
// earlier runs.
func systemMegabytes() float64 {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.Sys) / (1 << 20)
}
