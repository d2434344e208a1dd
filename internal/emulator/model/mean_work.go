package model

import (
	"time"

	"springfield/internal/emulator"
)

// MeanWork returns the mean work of a request on a core at speed 1. The overload rule for endpoints that warm up
// counts work in multiples of it.
func MeanWork(scenario *emulator.Scenario) time.Duration {
	return scaleDuration(workPerUnit(scenario.Classes), meanUnits(&scenario.Clients))
}
