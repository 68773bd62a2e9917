package invariant

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// logInterval is the minimum time between two log lines of one rule. Events in between are still counted.
const logInterval = time.Second

// Monitor counts denied steps and detected violations by rule. The zero Monitor is ready for use and safe for concurrent
// use.
type Monitor struct {
	denied, violated [ruleCount]atomic.Int64
	logged           [ruleCount]atomic.Int64 // time of the last log line, in nanoseconds since start plus one; 0: none
	start            atomic.Pointer[time.Time]
}

// RecordDenial counts a step that was not taken because it would have violated a rule.
func (m *Monitor) RecordDenial(rule Rule) {
	if rule > None && rule < ruleCount {
		m.denied[rule].Add(1)
	}
}

// RecordUnexpectedDenial counts a denied step that the decision module should not have requested, since it had the facts
// that rule the step out. It also logs the id of the request.
func (m *Monitor) RecordUnexpectedDenial(rule Rule, id string, details ...any) {
	m.RecordDenial(rule)
	m.log(rule, "step denied, the decision module should not have requested it", id, details)
}

// RecordViolation counts a violated rule and logs the id of the request.
func (m *Monitor) RecordViolation(rule Rule, id string, details ...any) {
	if rule <= None || rule >= ruleCount {
		return
	}
	m.violated[rule].Add(1)
	m.log(rule, "rule violated", id, details)
}

func (m *Monitor) log(rule Rule, msg, id string, details []any) {
	if rule <= None || rule >= ruleCount {
		return
	}
	start := time.Now()
	m.start.CompareAndSwap(nil, &start)
	now := int64(time.Since(*m.start.Load())) + 1
	last := m.logged[rule].Load()
	if last != 0 && now-last < int64(logInterval) || !m.logged[rule].CompareAndSwap(last, now) {
		return
	}
	slog.Error("invariant: "+msg, append([]any{"rule", rule, "id", id}, details...)...)
}

// Denied returns how many steps a rule has denied so far.
func (m *Monitor) Denied(rule Rule) int64 { return m.denied[rule].Load() }

// Violations returns how many violations of a rule were detected so far.
func (m *Monitor) Violations(rule Rule) int64 { return m.violated[rule].Load() }

// Counts returns the nonzero counts of denied steps and violations by rule name.
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
