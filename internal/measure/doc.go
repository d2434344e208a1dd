// Package measure computes the results of an emulator run from its observations: outcomes, value, latency, load and a
// timeline.
//
// # Requests and tries
//
// A request is a client's first try together with the client's retries. It is served at most once, and its latency
// starts with the submission of the first try. Every try, however, is charged to the quota of its customer.
//
// # Value
//
// The value of a request is the value of its class x the price of its plan x the units that the request states. A
// later settlement of the units changes the remaining quota but not the value, so that the requested value does not
// depend on the decisions of the gateways. A served request earns its value if a genuine response reaches the client
// within the latency objective of its class; a later response earns nothing. A try takes its units when its first
// attempt reaches an endpoint complete. If the quota is used up by then, the try earns only the share of the value that
// the plan sets for requests over quota, and it costs the plan's over-quota cost whether it is served or not.
//
// The requested value is the full value of the requests that a single gateway would admit if it saw all first tries,
// plus the reduced over-quota value of all other requests.
package measure
