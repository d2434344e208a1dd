package settings

import "springfield/policy"

// PolicyConfig returns the policy configuration for a deployment. The seed initializes the policy's random number
// generator.
func PolicyConfig(s *Settings, seed uint64) policy.Config {
	config := policy.Config{
		GatewayIndex: s.MyNumber,
		GatewayCount: s.Balancers,
		Zone:         s.Locality,
		Seed:         seed,

		MeterPeriod:     Duration(s.Extra.UsePeriodMs),
		MaxRequestUnits: s.Extra.MostUnits,
		CanCancel:       s.Limits.Cancel,
		MaxAttempts:     s.Limits.SendCap,
		MaxOpenRequests: s.Limits.MostHeld,
		SendRetryAfter:  s.Limits.RetryAfter,
		MaxRetryAfter:   Duration(s.Limits.MaxRetryAfterMs),
		PolledEndpoints: s.Discovery == DiscoveryPolled,

		WarmUpInitialCapacity: s.Safety.ColdFrom,
		WarmUpDuration:        Duration(s.Safety.WarmWithinMs),
		WarmUpOverloadFactor:  s.Safety.FallMultiple,
		WarmUpOverloadWindow:  Duration(s.Safety.FallMs),
	}
	for _, class := range s.Classes {
		config.Classes = append(config.Classes, policyClass(class))
	}
	for _, plan := range s.Contracts {
		config.Plans = append(config.Plans, policyPlan(plan))
	}
	return config
}

func policyClass(class Class) policy.Class {
	return policy.Class{
		LatencyObjective: Duration(class.AimMs),
		PriorityWeight:   class.Value,
		Idempotency:      idempotency(class.Repeat),
		KeyScope:         keyScope(class.Group),
		KeyTTL:           Duration(class.KeyTTLMs),
	}
}

// idempotency converts Class.Repeat. It treats unknown values as the strictest one, which is non-idempotent.
func idempotency(repeat string) policy.Idempotency {
	switch repeat {
	case RepeatIdempotent:
		return policy.Idempotent
	case RepeatDeduplicated:
		return policy.IdempotentByKey
	default: // RepeatAtMostOnce and unknown values
		return policy.NonIdempotent
	}
}

// keyScope converts Class.Group. It treats unknown values as the whole fleet.
func keyScope(group string) policy.KeyScope {
	switch group {
	case GroupZone:
		return policy.KeyScopeZone
	case GroupCell:
		return policy.KeyScopeCell
	default: // GroupAll and unknown values
		return policy.KeyScopeFleet
	}
}

func policyPlan(plan Plan) policy.Plan {
	return policy.Plan{
		QuotaRate:      plan.UnitsPerS,
		Burst:          plan.Burst,
		CeilingRate:    plan.HardRate,
		CeilingBurst:   plan.CeilingBurst,
		MaxConcurrent:  plan.AtOnce,
		PriceFactor:    plan.Pays,
		OverQuotaValue: plan.OverWorth,
		OverQuotaCost:  plan.OverCost,
	}
}
