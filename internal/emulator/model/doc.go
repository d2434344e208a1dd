// Package model holds the models of an emulated deployment: endpoints with their slow start, connections and load,
// the network, the usage meter, quota accounting, the shared counter, discovery, and clients with their load. Each
// model is driven by an emulator.Scheduler or by the times passed to it, and draws its random numbers from its own
// generator, so that a scenario and a seed determine a run on virtual time.
//
// The models implement the operators' specification documents (BRIEF, BENCH, PROTOCOL, STANDING and WIRE). The comment
// of a model describes the rule that it implements and its units, and names the document as its source.
package model
