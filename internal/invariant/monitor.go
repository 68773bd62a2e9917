package invariant

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// logEvery is the least time between two log lines of one rule; what comes between is counted all the same.
const logEvery = time.Second

// Monitor counts, by rule, the steps that were denied and the violations that were found. The zero Monitor is ready
// for use, by any number of goroutines.
type Monitor struct {
	denied, violated [ruleCount]atomic.Int64
	logged           [ruleCount]atomic.Int64 // when a line was last written, in nanoseconds since begin, plus one
	begin            atomic.Pointer[time.Time]
}

// Deny counts a step that was not made, for it would have broken a rule.
func (m *Monitor) Deny(rule Rule) {
	if rule > None && rule < ruleCount {
		m.denied[rule].Add(1)
	}
}

// Misdirected counts a step that was not made though the decision module asked for it knowing better, and logs the
// request's id: the module's own rules should have kept it from asking.
func (m *Monitor) Misdirected(rule Rule, id string, details ...any) {
	m.Deny(rule)
	m.log(rule, "a forbidden step was not made", id, details)
}

// Violation counts a rule that was broken, and logs the request's id.
func (m *Monitor) Violation(rule Rule, id string, details ...any) {
	if rule <= None || rule >= ruleCount {
		return
	}
	m.violated[rule].Add(1)
	m.log(rule, "a rule was broken", id, details)
}

func (m *Monitor) log(rule Rule, what, id string, details []any) {
	if rule <= None || rule >= ruleCount {
		return
	}
	first := time.Now()
	m.begin.CompareAndSwap(nil, &first)
	now := int64(time.Since(*m.begin.Load())) + 1
	last := m.logged[rule].Load()
	if last != 0 && now-last < int64(logEvery) || !m.logged[rule].CompareAndSwap(last, now) {
		return
	}
	slog.Error("invariant: "+what, append([]any{"rule", rule, "id", id}, details...)...)
}

// Denied is how many steps a rule has denied so far.
func (m *Monitor) Denied(rule Rule) int64 { return m.denied[rule].Load() }

// Violations is how often a rule was found broken so far.
func (m *Monitor) Violations(rule Rule) int64 { return m.violated[rule].Load() }

// Counts returns the rules that denied a step, or were broken, at least once, by name.
func (m *Monitor) Counts() (denied, violated map[string]int64) {
	denied, violated = make(map[string]int64), make(map[string]int64)
	for _, r := range Rules() {
		if n := m.Denied(r); n > 0 {
			denied[r.String()] = n
		}
		if n := m.Violations(r); n > 0 {
			violated[r.String()] = n
		}
	}
	return denied, violated
}
