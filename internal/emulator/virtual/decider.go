package virtual

import (
	"springfield/internal/emulator"
	"springfield/policy"
)

// PolicyDecider creates the policy engine that real gateways run. It implements emulator.NewDecider.
func PolicyDecider(cfg policy.Config, actions policy.Actions, _ emulator.GroundTruth) emulator.Decider {
	return policy.New(cfg, actions)
}
