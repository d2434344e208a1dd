// Package invariant checks the rules that gateways must follow under any load and any faults. A Checker processes the
// observations of a run, either on virtual time or over sockets, and reports which rules were broken, how often and by
// which requests.
//
// A Checker holds the open and recently closed requests, the endpoints that drain or were removed, and the customers
// whose ceiling is partly used. Its memory use does not grow with the length of a run.
package invariant
