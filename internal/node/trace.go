package node

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

const (
	summaryEvery = 5 * time.Second
	// linesPerSecond bounds the lines that single requests may write for any one reason: an overload must
	// not drown the log, nor cost the node its core, nor one frequent end hide the rare ones. What is
	// left out is counted.
	linesPerSecond = 10
	// mostServers bounds the servers that a summary tells of: those with the most bad ends, then with the most ends.
	mostServers = 200
	// mostNames bounds the classes and the tenants that are logged one by one at the start; of more, only what they
	// come to.
	mostNames = 32
)

// trace is what the log tells of requests: a line for one that ended badly, with its whole history, and
// a summary of the counts now and then. Only the loop touches it.
type trace struct {
	metrics *metrics
	second  time.Duration // the one that lines were written in
	lines   map[string]int
	skipped int // lines left out since the last summary

	arrived, served, failed, gone int
	refused                       map[string]int // by the module's reason
	outcomes                      map[string]int // of attempts, by code
	opened                        int            // connections to servers
	servers                       map[string]*served
	shedAtArrival                 int64         // requests refused without waiting for the loop
	mostWaited, mostTook          time.Duration // of the loop's events
}

// served is what one server made of the attempts that ended since the last summary.
type served struct {
	ended, ok int
	took      time.Duration // of the good ones, in all
	report    []float64     // the last one
}

// count adds one to a map that is made when it is first needed.
func count(m *map[string]int, name string) {
	if *m == nil {
		*m = make(map[string]int)
	}
	(*m)[name]++
}

// mayWrite takes one line out of this second's budget for a reason.
func (t *trace) mayWrite(now policy.Time, reason string) bool {
	if s := now.Truncate(time.Second); s != t.second {
		t.second, t.lines = s, nil
	}
	if t.lines[reason] >= linesPerSecond {
		t.skipped++
		return false
	}
	count(&t.lines, reason)
	return true
}

// mayWriteOnce is mayWrite for a reason that has one line a second.
func (t *trace) mayWriteOnce(now policy.Time, reason string) bool {
	if now.Truncate(time.Second) == t.second && t.lines[reason] > 0 {
		t.skipped++
		return false
	}
	return t.mayWrite(now, reason)
}

// late notes how long an event waited for the loop, and took.
func (t *trace) late(waited, took time.Duration) {
	t.mostWaited, t.mostTook = max(t.mostWaited, waited), max(t.mostTook, took)
}

// shed notes a request that was refused without the module.
func (t *trace) shed(reason string) {
	t.arrived++
	count(&t.refused, reason)
	t.metrics.countShed(reason)
}

// processorTime is what the process has used of the processor since it started; 0 where that can't be told.
func processorTime() time.Duration {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// attempt notes how an attempt ended, with the network's own word where it has one.
func (t *trace) attempt(now policy.Time, r *request, n int, e result) {
	a := &r.attempts[n]
	a.took = now - a.sent
	count(&t.outcomes, e.code.String())
	t.metrics.attempts.WithLabelValues(e.code.String()).Inc()
	t.metrics.attemptTime.Observe(a.took.Seconds())
	if e.opened {
		t.opened++
		t.metrics.opened.Inc()
	}
	if t.servers == nil {
		t.servers = make(map[string]*served)
	}
	s := t.servers[a.server]
	if s == nil {
		s = new(served)
		t.servers[a.server] = s
	}
	s.ended++
	if e.code == policy.OK {
		s.ok++
		s.took += a.took
	}
	if e.report != nil {
		s.report = e.report
	}
	switch e.code {
	case policy.OK, policy.Full, policy.Cancelled:
		return
	}
	if t.mayWrite(now, "attempt "+e.code.String()) {
		slog.Warn("attempt failed", "id", r.req.ID, "server", a.server, "attempt", n, "outcome", e.code,
			"took", a.took, "opened", e.opened, "reused", e.uses, "idle", e.idle, "err", e.err)
	}
}

// answered notes how a request ended; by says who ended it.
func (t *trace) answered(now policy.Time, r *request, a answer, by string) {
	if len(r.attempts) == 0 {
		t.metrics.heldTime.WithLabelValues(by).Observe((now - r.came).Seconds())
	}
	level := slog.LevelInfo
	switch {
	case a.status == http.StatusOK:
		t.served++
		t.metrics.requests.WithLabelValues(resultServed).Inc()
		return
	case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
		count(&t.refused, by)
		t.metrics.requests.WithLabelValues(resultRefused).Inc()
		t.metrics.refusals.WithLabelValues(by).Inc()
	case a.status == 0:
		t.gone++
		t.metrics.requests.WithLabelValues(resultLeft).Inc()
	default:
		t.failed++
		t.metrics.requests.WithLabelValues(resultFailed).Inc()
		level = slog.LevelWarn
	}
	if !slog.Default().Enabled(context.Background(), level) || !t.mayWrite(now, by) {
		return
	}
	slog.Log(context.Background(), level, "not served", "id", r.req.ID, "class", r.req.Class,
		"tenant", r.req.Tenant, "retry", r.req.Retry, "status", a.status, "by", by,
		"after", now-r.came, "waits", r.clientWaits, "retry_after", a.retryAfter, "attempts", r.history())
}

// history tells a request's attempts in order.
func (r *request) history() string {
	var b strings.Builder
	for i, a := range r.attempts {
		if i > 0 {
			b.WriteByte(' ')
		}
		end := "out"
		if a.over {
			end = fmt.Sprintf("%v:%.1fms", a.code, a.took.Seconds()*1e3)
		}
		fmt.Fprintf(&b, "%s@%.1fms=%s", a.server, (a.sent-r.came).Seconds()*1e3, end)
	}
	return b.String()
}

// ended tells for each server how many attempts ended and how many of them well, how long those took in the
// mean, and its last load report. Of many servers it leaves out those that matter least, and says how many.
func (t *trace) ended() string {
	var b strings.Builder
	ids := slices.Sorted(maps.Keys(t.servers))
	more := len(ids) - mostServers
	if more > 0 {
		slices.SortStableFunc(ids, func(x, y string) int {
			s, o := t.servers[x], t.servers[y]
			return cmp.Or(cmp.Compare(o.ended-o.ok, s.ended-s.ok), cmp.Compare(o.ended, s.ended))
		})
		ids = ids[:mostServers]
		slices.Sort(ids)
	}
	for i, id := range ids {
		if i > 0 {
			b.WriteByte(' ')
		}
		s := t.servers[id]
		fmt.Fprintf(&b, "%s=%d/%d/%.0fms%.3g", id, s.ended, s.ok, s.took.Seconds()*1e3/float64(max(1, s.ok)), s.report)
	}
	if more > 0 {
		fmt.Fprintf(&b, " left_out=%d", more)
	}
	return b.String()
}

// logSettings tells the log what the classes and tenants of the settings come to; each of them only where they
// are few, for the log of a large site must not be its list of tenants.
func logSettings(set policy.Settings) {
	if n := len(set.Classes); n > 0 {
		least, most := set.Classes[0], set.Classes[0] // by aim
		shortest, longest := least.Deadline, least.Deadline
		for _, c := range set.Classes {
			if n <= mostNames {
				slog.Info("class", "name", c.Name, "aim", c.Aim, "deadline", c.Deadline)
			}
			if c.Aim < least.Aim {
				least = c
			}
			if c.Aim > most.Aim {
				most = c
			}
			shortest, longest = min(shortest, c.Deadline), max(longest, c.Deadline)
		}
		slog.Info("classes", "count", n, "shortest_aim", least.Aim, "shortest_aim_class", least.Name,
			"longest_aim", most.Aim, "longest_aim_class", most.Name, "shortest_deadline", shortest, "longest_deadline", longest)
	}
	if n := len(set.Tenants); n > 0 {
		least, most, sum, none := set.Tenants[0], set.Tenants[0], 0.0, 0
		for _, t := range set.Tenants {
			if n <= mostNames {
				slog.Info("tenant", "name", t.Name, "quota_rps", t.Quota)
			}
			if sum += t.Quota; t.Quota == 0 {
				none++
			}
			if t.Quota < least.Quota {
				least = t
			}
			if t.Quota > most.Quota {
				most = t
			}
		}
		slog.Info("tenants", "count", n, "quota_rps_sum", sum, "smallest_quota_rps", least.Quota,
			"smallest_quota_tenant", least.Name, "largest_quota_rps", most.Quota, "largest_quota_tenant", most.Name,
			"without_quota", none)
	}
}

// summary writes the counts since the last one, and what the module goes by.
func (t *trace) summary(open, clients, evicted, queued int, state string, monitor *invariant.Monitor) {
	denied, violated := monitor.Counts()
	slog.Info("summary", "clients", clients, "evicted", evicted, "arrived", t.arrived, "served", t.served, "refused", t.refused, "failed", t.failed,
		"gone", t.gone, "open", open, "attempts", t.outcomes, "opened", t.opened,
		"queued", queued, "most_waited", t.mostWaited, "most_took", t.mostTook, "shed_at_arrival", t.shedAtArrival, "processor_time", processorTime(),
		"denied", denied, "violations", violated, "lines_left_out", t.skipped, "servers", t.ended(), "module", state)
	*t = trace{metrics: t.metrics, second: t.second, lines: t.lines}
}
