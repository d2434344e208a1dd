package soak

import "context"

// Shrink removes faults from a plan for as long as a run of the rest finds the same. A finding that depends on time may
// not show again; each removal is therefore tried a few times before it is given up.
func Shrink(ctx context.Context, plan Plan, what string,
	run func(context.Context, Plan) (Result, error)) (Plan, error) {
	const tries = 3
	for index := 0; index < len(plan.Faults); {
		less, found := plan.without(index), false
		for range tries {
			result, err := run(ctx, less)
			if err != nil {
				return plan, err
			}
			if result.finds(what) {
				found = true
				break
			}
		}
		if found {
			plan = less
		} else {
			index++
		}
	}
	return plan, nil
}

// finds reports whether a run has found something.
func (r *Result) finds(what string) bool {
	for _, finding := range r.Findings {
		if finding.What == what {
			return true
		}
	}
	return false
}
