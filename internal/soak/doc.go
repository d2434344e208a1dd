// Package soak runs randomized faults against real gateway processes on loopback sockets and looks for broken rules.
// Each seed determines a run: a small deployment and three to five faults that overlap in time. Consecutive seeds cover
// all pairs of kinds of fault. The oracles are the checker of the emulator's rules, the gateways' own checks of their
// invariants (springfield/internal/invariant), and the behavior of the processes: a run fails if a gateway crashes,
// exits late, starves or does not close the connections of stalled clients.
package soak
