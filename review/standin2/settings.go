package main

// The figures below are those of a small deployment: two gateways, the classes and the limits of the operators' first
// site, with the shorter deadlines of the short days.
const gatewayCount = 2

// class returns a class of requests.
func class(name, repeat string, aimMS, deadlineMS float64) object {
	return object{"Name": name, "Repeat": repeat, "AimMs": aimMS, "HardLimitMs": deadlineMS, "Value": 3, "LateValue": 0,
		"Streamed": false, "Group": "all", "KeyTtlMs": 5000}
}

// plan returns a plan with a quota that no case reaches and no ceiling.
func plan(name string) object {
	return object{"Name": name, "UnitsPerS": 2000, "Burst": 4000, "Pays": 1, "OverWorth": 0, "OverCost": 0.5,
		"AtOnce": 0, "HardRate": 0, "CeilingBurst": 0, "Tolerance": 0}
}

// settingsOf returns the settings of a deployment.
func settingsOf(gatewayNumber int, classes, plans []object) object {
	return object{
		"Balancers": gatewayCount, "MyNumber": gatewayNumber, "Locality": 0, "Zones": []string{"a"},
		"Classes": classes, "Contracts": plans, "Discovery": "pushed", "GranularityMs": 2, "Weights": "nominal",
		"Extra": object{"MostUnits": 4, "TruedUp": false, "SharedCounter": false, "UsePeriodMs": 0},
		"Limits": object{"Cancel": true, "ConnIdleMs": 30000, "DialTimeoutMs": 250, "MaxRetryAfterMs": 1000,
			"MostHeld": 20000, "RetryAfter": true, "SecondCopies": true, "SendCap": 4, "StreamsPerConn": 1},
		"Report": object{"Columns": []string{}, "How": "off"},
		"Safety": object{"AskWithinMs": 10000, "ColdFrom": 0.16, "DrainGraceMs": 1000, "FallMs": 3000,
			"FallMultiple": 2.5, "GraceToAnswerMs": 8, "WarmWithinMs": 16000},
	}
}

// limitsOf returns the limits of a gateway.
func limitsOf(memoryMB, sockets int) object {
	return object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
}
