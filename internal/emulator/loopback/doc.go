// Package loopback runs a scenario over sockets on 127.0.0.0/8 against real gateway processes. The endpoints, discovery
// and the clients are the models of package model in real time, behind HTTP/1.1 listeners and connections; the gateways
// are processes of the gateway's program that are configured, started, signalled and killed as in a deployment. A run
// emits the same observations as a run in virtual time.
//
// All state of a World belongs to its emulator.WallScheduler: it is read and changed only by scheduled functions and
// inside WallScheduler.Do. Goroutines that read or write sockets call Do for short changes of the state and never block
// inside it.
package loopback
