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

// metric is one named number of a result; absent if it was not measured.
type metric struct {
	name   string
	value  float64
	absent bool
}

// collectMetrics returns the numbers in v, in the order of the fields.
func collectMetrics(v any) (all []metric) {
	walkMetrics(reflect.ValueOf(v), "", false, func(m metric) { all = append(all, m) })
	return all
}

// walkMetrics visits the numbers in v. Names are JSON keys joined by dots; numbers behind a nil pointer are absent.
func walkMetrics(v reflect.Value, name string, absent bool, visit func(metric)) {
	switch {
	case v.Kind() == reflect.Pointer && v.IsNil():
		walkMetrics(reflect.Zero(v.Type().Elem()), name, true, visit)
	case v.Kind() == reflect.Pointer:
		walkMetrics(v.Elem(), name, absent, visit)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			key, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			if name != "" {
				key = name + "." + key
			}
			walkMetrics(v.Field(i), key, absent, visit)
		}
	case v.CanInt():
		visit(metric{name, float64(v.Int()), absent})
	case v.CanFloat():
		visit(metric{name, v.Float(), absent})
	}
}

// Report writes tables for each step, with a row per metric and a column per kind of node. For several runs it prints
// the median with the minimum and maximum.
func Report(w io.Writer, r Result) error {
	treeState := ""
	if r.TreeChanged != nil && *r.TreeChanged {
		treeState = " (tree changed)"
	}
	fmt.Fprintf(w, "plan %s, seed %d, commit %s%s, %s, %d run(s)\n", r.Plan, r.Seed,
		cmp.Or(r.Commit, "unknown"), treeState, r.StartedAt.Format(time.RFC3339), len(r.Runs))
	fmt.Fprintf(w, "machine: %d cores %s, %.0f MiB, kernel %s, %s\n", r.Machine.Cores, r.Machine.Model,
		r.Machine.MemoryMiB, r.Machine.Kernel, r.Machine.Go)
	for i, run := range r.Runs {
		fmt.Fprintf(w, "run %d: %s, %.4g s", i+1, run.StartedAt.Format(time.RFC3339), run.Seconds)
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

// reportStep writes the tables of one step, given its results from all runs.
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
	column := func(section func(StepResult) any) (runs [][]metric) {
		for _, s := range steps {
			runs = append(runs, collectMetrics(section(s)))
		}
		return runs
	}
	writeTable(t, []string{"node", "real", "hollow"}, column(func(s StepResult) any { return s.Real }),
		column(func(s StepResult) any { return s.Hollow }))
	writeTable(t, []string{"registry", ""}, column(func(s StepResult) any { return s.Registry }))
	writeTable(t, []string{"load", ""}, column(func(s StepResult) any { return s.Load }))
	writeTable(t, []string{"module", ""}, column(func(s StepResult) any { return s.Module }))
	return t.Flush()
}

// writeTable writes the metrics that at least one column has a value for. A column holds the metrics of each run.
func writeTable(w io.Writer, header []string, columns ...[][]metric) {
	headerWritten := false
	for i, m := range columns[0][0] {
		row, measured := "  "+m.name, false
		for _, runs := range columns {
			var values []float64
			for _, run := range runs {
				if !run[i].absent {
					values = append(values, run[i].value)
				}
			}
			measured = measured || len(values) > 0
			row += "\t" + formatValues(values)
		}
		if !measured {
			continue
		}
		if !headerWritten {
			fmt.Fprintf(w, "  %s\n", strings.Join(header, "\t"))
			headerWritten = true
		}
		fmt.Fprintln(w, row)
	}
}

// formatValues formats a single value, or the median of several with the minimum and maximum.
func formatValues(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	format := func(v float64) string {
		if v >= 1000 {
			return strconv.FormatFloat(v, 'f', -1, 64)
		}
		return strconv.FormatFloat(v, 'g', 4, 64)
	}
	if len(values) == 1 {
		return format(values[0])
	}
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return fmt.Sprintf("%s (%s..%s)", format((sorted[(n-1)/2]+sorted[n/2])/2), format(sorted[0]), format(sorted[n-1]))
}
