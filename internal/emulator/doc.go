// Package emulator is a model of a deployment of gateways: clients, endpoints, discovery, the usage meter, the network
// and their faults. This package holds what all of its parts share: the scenario, the scheduler, the observations that
// a run makes, and the interface of a decider. The models are in package model; package virtual runs them with the
// decisions of many gateways in one process on virtual time, and package loopback runs them over sockets against real
// gateway processes.
//
// The models are written from the operators' pages. They are no measurements of real machines.
package emulator
