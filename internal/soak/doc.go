// Package soak runs randomized faults against real gateway processes on loopback and looks for broken rules. Each run
// is drawn from a seed: a small deployment, and a few faults that overlap in time. Seeds are laid out so that all pairs
// of kinds of fault come together. The oracles are the checker of the emulator's rules, the guards of the gateways
// (springfield/internal/invariant), and what the processes do: crash, end late, starve or keep clients that stall.
package soak
