package invariant

import (
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// class says how often a request of a class may take effect.
type class struct {
	idempotency policy.Idempotency
	scope       policy.KeyScope
	keyTTL      time.Duration
}

// strictest is assumed of a class that the scenario does not describe.
var strictest = class{idempotency: policy.NonIdempotent, scope: policy.KeyScopeCell}

// classOf returns what a scenario says of a class. Values that are not known count as the strictest ones.
func classOf(described emulator.Class) class {
	result := strictest
	switch described.Idempotency {
	case "idempotent":
		result.idempotency = policy.Idempotent
	case "deduplicated":
		result.idempotency = policy.IdempotentByKey
	}
	switch described.Scope {
	case "all", "":
		result.scope = policy.KeyScopeFleet
	case "zone":
		result.scope = policy.KeyScopeZone
	}
	result.keyTTL = described.KeyTTL.AsDuration()
	return result
}

// classOf returns the class of a request.
func (c *Checker) classOf(r *request) class {
	if r.class < 0 || r.class >= len(c.classes) {
		return strictest
	}
	return c.classes[r.class]
}
