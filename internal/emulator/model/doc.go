// Package model holds the models of an emulated deployment: the endpoints with their slow start, connections and load,
// the network, the usage meter, the true quotas, the shared counter, discovery, and the clients with their load. Each
// of them is driven by an emulator.Scheduler or by the times that it is given, and draws its random numbers from a
// generator of its own, so that a scenario and a seed determine a run on virtual time.
//
// The models are written from the operators' pages; each file names those that it follows, and its units.
package model
