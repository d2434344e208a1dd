// Package emulator holds the types that all parts of the emulator share: the scenario, the schedulers, the observations
// of a run and the interface of a decider. The emulator models a deployment of gateways: clients, endpoints, discovery,
// the usage meter, the network and the faults of each.
//
// The models are in package model. Package virtual runs them in one process on virtual time, together with the deciders
// of all gateways. Package loopback runs them over sockets against real gateway processes.
//
// The models and the rules of package invariant follow the operators' specification documents, which are called BRIEF,
// BENCH, DESIGN, DEPLOY, PROTOCOL, WIRE and STANDING. A comment names the documents and sections that it follows after
// the word "Source:". The models are not calibrated against real machines.
package emulator
