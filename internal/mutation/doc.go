// Package mutation measures how many deliberate faults in the gateway a soak finds. A mutant is a small change of one
// declaration of the source code. Each mutant is applied with an overlay of go build, so that the source tree stays
// unchanged, and the resulting program is soaked until the first finding or until all seeds have run. The unchanged
// program is soaked as a control, in which each finding is a false one.
package mutation
