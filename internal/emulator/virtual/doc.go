// Package virtual runs an emulated deployment in one process on virtual time: the clients, many gateways with a decider
// each, the endpoints, discovery, the usage meter, the network, and their faults. A run is determined by its scenario
// and its seed and does not depend on the speed of the machine.
package virtual
