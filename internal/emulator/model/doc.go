// Package model holds the models of an emulated deployment: endpoints with their slow start, connections and load,
// the network, the usage meter, quota accounting, the shared counter, discovery, and clients with their load. Each
// model is driven by an emulator.Scheduler or by the times passed to it, and draws its random numbers from its own
// generator, so that a scenario and a seed determine a run on virtual time.
//
// The models implement what the operators' pages (PROTOCOL, WIRE and others) specify. The comment of each model names
// the page and section that it follows, and its units.
package model
