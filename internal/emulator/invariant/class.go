package invariant

import (
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// class describes when requests of a class may be executed more than once.
type class struct {
	idempotency policy.Idempotency
	scope       policy.KeyScope
	keyTTL      time.Duration
}

// strictestClass is used for class indices that the scenario does not define.
var strictestClass = class{idempotency: policy.NonIdempotent, scope: policy.KeyScopeCell}

// newClass converts a class of the scenario. Unknown values are treated as the strictest ones.
func newClass(source emulator.Class) class {
	result := strictestClass
	switch source.Idempotency {
	case "idempotent":
		result.idempotency = policy.Idempotent
	case "deduplicated":
		result.idempotency = policy.IdempotentByKey
	}
	switch source.Scope {
	case "all", "":
		result.scope = policy.KeyScopeFleet
	case "zone":
		result.scope = policy.KeyScopeZone
	}
	result.keyTTL = source.KeyTTL.AsDuration()
	return result
}

// classOf returns the class of a request, or strictestClass if its index is out of range.
func (c *Checker) classOf(r *request) class {
	if r.class < 0 || r.class >= len(c.classes) {
		return strictestClass
	}
	return c.classes[r.class]
}
