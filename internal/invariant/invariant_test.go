package invariant_test

import (
	"errors"
	"testing"

	"springfield/internal/invariant"
)

// A violation must be counted and must panic in tests, or it would go unnoticed there.
func TestViolationIsCountedAndPanics(t *testing.T) {
	before, total := invariant.Violations(invariant.Closing), invariant.Total()
	invariant.PanicOnViolation()
	defer func() {
		var violation *invariant.Violation
		err, _ := recover().(error)
		if !errors.As(err, &violation) || violation.Rule != invariant.Closing || violation.RequestID != "a" {
			t.Errorf("panicked with %v", err)
		}
		if invariant.Violations(invariant.Closing) != before+1 || invariant.Total() != total+1 {
			t.Error("the violation is not counted")
		}
	}()
	invariant.RecordViolation(invariant.Closing, "a", "violation of the test")
}
