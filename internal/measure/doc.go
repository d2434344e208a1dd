// Package measure turns the observations of an emulator run into figures: outcomes, value, latency, load and a
// timeline.
//
// # Requests and tries
//
// A request is a client's first try together with its retries. It is served once at most, and its latency runs from
// the submission of the first try. Each try, however, counts anew against the quota of its customer.
//
// # Value
//
// The value of a request is the value of its class x the price of its plan x the units that it names. Units that are
// settled later change the quota that is left, but not the value, so that the value requested is the same whatever
// the gateways decide. A served request earns its value if a genuine response reaches the client within the latency
// objective of its class; a later one earns nothing. A try takes its units when its first attempt reaches an endpoint
// complete. A try that finds its quota used up then earns only the plan's share for use over quota, and it costs the
// plan's over-quota cost whether it is served or not.
//
// The value requested is what a single gateway would admit that saw all first tries, and for the others the share
// that use over quota earns.
package measure
