// Package policy makes every decision of a gateway that holds customers to their quotas in front of a shared
// back end, after Li and Jamin, "A Measurement-Based Admission-Controlled Web Server" ("the paper"). It
// performs no I/O, reads no clock and starts no goroutine: the same events lead to the same actions.
//
// The interface stands in types.go. Engine (engine.go) takes the events; admission.go is the ordinary path of
// a request. Each of the remaining files holds one concern with its constants.
package policy
