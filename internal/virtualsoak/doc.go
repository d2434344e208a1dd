// Package virtualsoak runs many short, randomized deployments of the policy on virtual time and looks for broken rules.
// Each seed determines a scenario: the sizes, settings and load of a deployment, and one to four faults that overlap in
// time. The oracles are the checker of the emulator's rules, a monitor of each gateway's decisions, a detector of
// gateways that starve, and panics of the decider.
package virtualsoak
