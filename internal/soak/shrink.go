package soak

import "context"

// Shrink removes faults from a plan as long as a run of the remaining faults has the same finding. A finding that
// depends on timing may not recur in each run. Each removal is therefore tried several times before the fault is kept.
func Shrink(ctx context.Context, plan Plan, what string,
	run func(context.Context, Plan) (Result, error)) (Plan, error) {
	const tries = 3
	for index := 0; index < len(plan.Faults); {
		reduced, found := plan.without(index), false
		for range tries {
			result, err := run(ctx, reduced)
			if err != nil {
				return plan, err
			}
			if result.hasFinding(what) {
				found = true
				break
			}
		}
		if found {
			plan = reduced
		} else {
			index++
		}
	}
	return plan, nil
}

// hasFinding reports whether the run has a finding of the given kind.
func (r *Result) hasFinding(what string) bool {
	for _, finding := range r.Findings {
		if finding.What == what {
			return true
		}
	}
	return false
}
