package main

// site is a deployment with figures from the operators' pages.
type site struct {
	safeClass, unsafeClass string
	plans                  []string
	balancers              int
	zone                   string
	settings               func(gatewayNumber int) object
}

// oslo is the deployment oslo-annonser, with the settings that the operators' page of the wire shows.
var oslo = site{
	safeClass: "search", unsafeClass: "post-ad", balancers: 2, zone: "oslo-dc1",
	plans: []string{"lokal", "standard", "utvidet", "kjede"},
	settings: func(gatewayNumber int) object {
		return object{
			"Balancers": 2, "MyNumber": gatewayNumber, "Locality": 0, "Zones": []string{"oslo-dc1"},
			"Classes": []object{
				class("search", "idempotent", 1500, 6000, 3), class("post-ad", "at_most_once", 2000, 8000, 5),
			},
			"Contracts": []object{
				plan("lokal", 1.6, 8, 0.5, 0.3, 0), plan("standard", 1.8, 8, 0.8, 0, 1.2),
				plan("utvidet", 5.6, 23, 1.2, 0, 1), plan("kjede", 20, 39, 1.4, 0, 0.5),
			},
			"Discovery": "pushed", "GranularityMs": 2, "Weights": "nominal", "MachineTypes": []string{"std-2c"},
			"Extra": object{"MostUnits": 4, "TruedUp": true, "SharedCounter": true, "UsePeriodMs": 1000,
				"CountLimitMs": 80, "CountFee": 0.02},
			"Limits": limitsOfSite(4, 1000), "Report": object{"Columns": []string{}, "How": "off"},
			"Safety": object{"AskWithinMs": 10000, "ColdFrom": 0.16, "DrainGraceMs": 1000, "FallMs": 3000,
				"FallMultiple": 2.5, "GraceToAnswerMs": 8, "WarmWithinMs": 16000},
		}
	},
}

// kalisz is the deployment centrala-kalisz. The quotas are in the ranges of its site file.
var kalisz = site{
	safeClass: "price-calc", unsafeClass: "quote-issue", balancers: 3, zone: "room-a",
	plans: []string{"start", "standard", "plus", "pro"},
	settings: func(gatewayNumber int) object {
		return object{
			"Balancers": 3, "MyNumber": gatewayNumber, "Locality": 0, "Zones": []string{"room-a", "room-b", "room-c"},
			"Classes": []object{
				class("price-calc", "idempotent", 750, 2500, 1), class("quote-issue", "at_most_once", 1000, 2500, 2),
			},
			"Contracts": []object{
				plan("start", 1.6, 8, 0.5, 0, 0.6), plan("standard", 2.8, 12, 0.8, 0, 0.5),
				plan("plus", 8, 18, 1.2, 0, 0.8), plan("pro", 21, 42, 1.4, 0, 0.5),
			},
			"Discovery": "pushed", "GranularityMs": 4, "Weights": "rough", "MachineTypes": []string{"std-2c", "slow-3c"},
			"Extra": object{"MostUnits": 4, "TruedUp": true, "SharedCounter": true, "UsePeriodMs": 0,
				"CountLimitMs": 30, "CountFee": 0.01},
			"Limits": limitsOfSite(5, 500), "Report": object{"Columns": []string{"cpu", "waiting"}, "How": "inline"},
			"Safety": object{"AskWithinMs": 10000, "ColdFrom": 0.16, "DrainGraceMs": 2000, "FallMs": 1500,
				"FallMultiple": 4, "GraceToAnswerMs": 8, "WarmWithinMs": 15000},
		}
	},
}

// class returns a class of requests.
func class(name, repeat string, aimMS, deadlineMS, value float64) object {
	return object{"Name": name, "Repeat": repeat, "AimMs": aimMS, "HardLimitMs": deadlineMS, "Value": value,
		"LateValue": 0, "Streamed": false, "Group": "all", "KeyTtlMs": 5000}
}

// plan returns a plan without a ceiling.
func plan(name string, rate, burst, pays, overWorth, overCost float64) object {
	return object{"Name": name, "UnitsPerS": rate, "Burst": burst, "Pays": pays, "OverWorth": overWorth,
		"OverCost": overCost, "AtOnce": 0, "HardRate": 0, "CeilingBurst": 0, "Tolerance": 0}
}

// limitsOfSite returns what a site allows.
func limitsOfSite(sendCap int, maxRetryAfterMS float64) object {
	return object{"Cancel": true, "ConnIdleMs": 30000, "DialTimeoutMs": 250, "MaxRetryAfterMs": maxRetryAfterMS,
		"MostHeld": 20000, "PeerMessages": false, "Probes": false, "RetryAfter": true, "SecondCopies": true,
		"SendCap": sendCap, "StreamsPerConn": 32, "CpuUsPerRequest": 0}
}

// limitsOf returns the limits of a gateway.
func limitsOf(memoryMB, sockets int) object {
	return object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
}

// customerCount is the number of customers, over which requests are spread evenly, so that all stay within quotas.
const customerCount = 160

// safeRequest returns a request of a class that is safe to repeat. The number selects its customer.
func (s *site) safeRequest(id string, number int, deadline float64) request {
	return s.request(id, s.safeClass, "GET", number, deadline)
}

// unsafeRequest returns a request of a class that must never run twice.
func (s *site) unsafeRequest(id string, number int, deadline float64) request {
	return s.request(id, s.unsafeClass, "POST", number, deadline)
}

func (s *site) request(id, class, method string, number int, deadline float64) request {
	customer := number%customerCount + 1
	body := ""
	if method == "POST" {
		body = "{}"
	}
	return request{id: id, class: class, method: method, customer: customer, plan: s.plans[customer%len(s.plans)],
		deadline: deadline, units: 1, spread: s.balancers, body: body}
}
