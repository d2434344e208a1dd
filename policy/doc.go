// Package policy makes every decision of a gateway in front of a shared fleet of endpoints: admission control
// by customer quotas, pacing, load balancing, concurrency limits, retries, slow start and outlier ejection.
// Quotas and pacing follow the paper by Li and Jamin, "A Measurement-Based Admission-Controlled Web Server".
// The package performs no I/O, reads no clock and starts no goroutine: the same configuration and events
// always lead to the same actions.
//
// The file types.go declares the interface. Engine, in engine.go, receives the events, and admission.go
// admits or refuses each new request. Each of the remaining files holds one concern with its constants.
package policy
