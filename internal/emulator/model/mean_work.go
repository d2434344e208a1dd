package model

import (
	"time"

	"springfield/internal/emulator"
)

// MeanWork returns the mean work of a request on a core. The rule on slow start counts in requests of mean work.
func MeanWork(scenario *emulator.Scenario) time.Duration {
	return scaled(workPerUnit(scenario.Classes), meanUnits(&scenario.Clients))
}
