package policy

import (
	"errors"
	"fmt"
	"math"
)

// Validate returns an error that names an invalid setting, if there is one. New rejects such settings too.
func (set Settings) Validate() error {
	if len(set.Classes) == 0 {
		return errors.New("classes: at least one is required")
	}
	if set.Nodes < 1 || set.Node < 0 || set.Node >= set.Nodes {
		return fmt.Errorf("node %d: outside the group of %d", set.Node, set.Nodes)
	}
	seen := make(map[string]bool)
	for _, c := range set.Classes {
		if err := validateClass(c); err != nil {
			return fmt.Errorf("class %q: %w", c.Name, err)
		}
		if seen[c.Name] {
			return fmt.Errorf("class %q: defined twice", c.Name)
		}
		seen[c.Name] = true
	}
	for _, t := range set.Tenants {
		if err := firstError(checkNonNegative("quota", t.Quota), checkNonNegative("share", t.Share)); err != nil {
			return fmt.Errorf("tenant %q: %w", t.Name, err)
		}
	}
	if err := validateRules(set.Rules); err != nil {
		return fmt.Errorf("rules: %w", err)
	}
	a := set.Allowed
	err := firstError(checkNonNegative("max attempts", float64(a.MaxAttempts)),
		checkNonNegative("max retry-after", a.MaxRetryAfter.Seconds()),
		checkNonNegative("connection idle time", a.ConnIdle.Seconds()))
	if err != nil {
		return fmt.Errorf("allowed: %w", err)
	}
	return nil
}

func validateClass(c Class) error {
	if c.Deadline <= 0 {
		return errors.New("deadline: must be positive")
	}
	return firstError(checkNonNegative("aim", c.Aim.Seconds()), checkNonNegative("aim stretch", c.AimStretch),
		checkNonNegative("window", c.Window.Seconds()), checkNonNegative("late worth", c.LateWorth),
		checkNonNegative("worth", c.Worth))
}

func validateRules(r Rules) error {
	err := firstError(checkNonNegative("answer grace", r.AnswerGrace.Seconds()),
		checkNonNegative("drain grace", r.DrainGrace.Seconds()), checkNonNegative("cold share", r.ColdShare),
		checkNonNegative("cold for", r.ColdFor.Seconds()), checkNonNegative("fall multiple", r.OverloadMultiple),
		checkNonNegative("overload for", r.OverloadFor.Seconds()), checkNonNegative("must ask in", r.ListRefreshWithin.Seconds()))
	if err != nil {
		return err
	}
	if r.ColdShare > 1 {
		return fmt.Errorf("cold share: must be at most 1, got %v", r.ColdShare)
	}
	if r.AttemptBudget == nil {
		return nil
	}
	if r.AttemptBudget.Span <= 0 {
		return errors.New("attempt budget: span: must be positive")
	}
	return firstError(checkNonNegative("attempt budget: least", r.AttemptBudget.MinExtra),
		checkNonNegative("attempt budget: share", r.AttemptBudget.ExtraShare))
}

// checkNonNegative returns an error that names the field if v is negative, infinite or NaN.
func checkNonNegative(field string, v float64) error {
	if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return fmt.Errorf("%s: must be a finite number of 0 or more, got %v", field, v)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
