// Package virtual runs a whole deployment in one process on virtual time: the clients, many gateways each with a
// decider of its own, the endpoints, discovery, the usage meter, the network, and their faults. A scenario and a seed
// determine a run, whatever the speed of the machine.
package virtual
