// Package branchcoverage counts how often gateway processes took each branch of their guards. It reads the counters of
// programs that were built with "go build -cover", assigns them to the declarations of the sources, and merges the
// counts of several runs. A guard is the code that keeps one promise of the gateway. guards.toml names the declarations
// of each guard.
package branchcoverage
