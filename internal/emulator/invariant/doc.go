// Package invariant checks the rules that a gateway must keep whatever its load and its faults are. A Checker
// follows the observations of a run, virtual or over sockets, and reports which rules were broken, how often and by
// which requests.
//
// A Checker holds the requests that are open and those that ended a moment ago, the endpoints that drain or have left,
// and the customers whose ceiling is partly used. It does not grow with the length of a run.
package invariant
