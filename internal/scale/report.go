package scale

import (
	"cmp"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// figure is one number of a result; absent if it was not measured.
type figure struct {
	name   string
	value  float64
	absent bool
}

// figures lists the numbers in v, in the order of the fields.
func figures(v any) (all []figure) {
	walk(reflect.ValueOf(v), "", false, func(f figure) { all = append(all, f) })
	return all
}

func walk(v reflect.Value, name string, absent bool, do func(figure)) {
	switch {
	case v.Kind() == reflect.Pointer && v.IsNil():
		walk(reflect.Zero(v.Type().Elem()), name, true, do)
	case v.Kind() == reflect.Pointer:
		walk(v.Elem(), name, absent, do)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			key, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			if name != "" {
				key = name + "." + key
			}
			walk(v.Field(i), key, absent, do)
		}
	case v.CanInt():
		do(figure{name, float64(v.Int()), absent})
	case v.CanFloat():
		do(figure{name, v.Float(), absent})
	}
}

// Report writes a table for each step: a row for each figure, a column for each kind of node. Of several runs
// it gives the median, and the least and the most.
func Report(w io.Writer, r Result) error {
	state := ""
	if r.Changed != nil && *r.Changed {
		state = " (tree changed)"
	}
	fmt.Fprintf(w, "plan %s, seed %d, commit %s%s, %s, %d run(s)\n", r.Plan, r.Seed,
		cmp.Or(r.Commit, "unknown"), state, r.Began.Format(time.RFC3339), len(r.Runs))
	fmt.Fprintf(w, "machine: %d cores %s, %.0f MiB, kernel %s, %s\n", r.Machine.Cores, r.Machine.Model,
		r.Machine.MemoryMiB, r.Machine.Kernel, r.Machine.Go)
	for i, run := range r.Runs {
		fmt.Fprintf(w, "run %d: %s, %.4g s", i+1, run.Began.Format(time.RFC3339), run.Seconds)
		if run.LoadAvg != nil {
			fmt.Fprintf(w, ", load average %.2f at the start", *run.LoadAvg)
		}
		fmt.Fprintln(w)
	}
	if len(r.Runs) > 1 {
		fmt.Fprintln(w, "figures: median (least..most) over runs")
	}
	for _, name := range stepNames(r) {
		var steps []StepResult
		for _, run := range r.Runs {
			for _, s := range run.Steps {
				if s.Name == name {
					steps = append(steps, s)
				}
			}
		}
		if err := reportStep(w, steps); err != nil {
			return err
		}
	}
	return nil
}

func stepNames(r Result) (names []string) {
	for _, run := range r.Runs {
		for _, s := range run.Steps {
			if !slices.Contains(names, s.Name) {
				names = append(names, s.Name)
			}
		}
	}
	return names
}

// reportStep writes the tables of one step, of all its runs.
func reportStep(w io.Writer, steps []StepResult) error {
	s := steps[0]
	fmt.Fprintf(w, "\nstep %s: %d nodes, %d transcribers in %d services, %d tenants\n", s.Name, s.Size.Nodes,
		s.Size.Transcribers, s.Size.Services, s.Size.Tenants)
	fmt.Fprintf(w, "  runs %d hollow and %d real, %g changes/s, %g requests/s at a real node\n", s.Size.Hollow,
		s.Size.Real, s.Size.ChangeRate, s.Size.RequestRate)
	for _, f := range s.Faults {
		fmt.Fprintln(w, "  fault:", f)
	}
	for i, s := range steps {
		if s.Error != "" {
			fmt.Fprintf(w, "  NOT WHOLE, run %d of the step: %s\n", i+1, s.Error)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	column := func(of func(StepResult) any) (runs [][]figure) {
		for _, s := range steps {
			runs = append(runs, figures(of(s)))
		}
		return runs
	}
	table(t, []string{"node", "real", "hollow"}, column(func(s StepResult) any { return s.Real }),
		column(func(s StepResult) any { return s.Hollow }))
	table(t, []string{"registry", ""}, column(func(s StepResult) any { return s.Registry }))
	table(t, []string{"load", ""}, column(func(s StepResult) any { return s.Load }))
	table(t, []string{"module", ""}, column(func(s StepResult) any { return s.Module }))
	return t.Flush()
}

// table writes the rows that any column has a figure for. Columns hold the figures of each run.
func table(w io.Writer, head []string, columns ...[][]figure) {
	begun := false
	for i, f := range columns[0][0] {
		row, found := "  "+f.name, false
		for _, runs := range columns {
			var values []float64
			for _, run := range runs {
				if !run[i].absent {
					values = append(values, run[i].value)
				}
			}
			found = found || len(values) > 0
			row += "\t" + over(values)
		}
		if !found {
			continue
		}
		if !begun {
			fmt.Fprintf(w, "  %s\n", strings.Join(head, "\t"))
			begun = true
		}
		fmt.Fprintln(w, row)
	}
}

// over gives the one value, or the median with the least and the most.
func over(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	text := func(v float64) string {
		if v >= 1000 {
			return strconv.FormatFloat(v, 'f', -1, 64)
		}
		return strconv.FormatFloat(v, 'g', 4, 64)
	}
	if len(values) == 1 {
		return text(values[0])
	}
	v := slices.Sorted(slices.Values(values))
	n := len(v)
	return fmt.Sprintf("%s (%s..%s)", text((v[(n-1)/2]+v[n/2])/2), text(v[0]), text(v[n-1]))
}
