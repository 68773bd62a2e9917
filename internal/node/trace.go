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
	summaryInterval = 5 * time.Second
	// linesPerSecond bounds the log lines about single requests, for each reason: an overload must neither flood the log
	// nor use up the node's CPU core, and a frequent outcome must not hide rare ones. Suppressed lines are counted.
	linesPerSecond = 10
	// maxSummaryServers bounds the servers in a summary: those with the most failed attempts come first, then those with
	// the most attempts.
	maxSummaryServers = 200
	// maxLoggedNames bounds the classes and the tenants that are logged one by one at the start; if there are more, only
	// their totals and extremes are logged.
	maxLoggedNames = 32
)

// requestLog logs a line with the history of each request that was not served, within limits, and a periodic summary of
// the counts. Only the loop uses it.
type requestLog struct {
	metrics         *metrics
	lineSecond      time.Duration // the second that linesByReason counts
	linesByReason   map[string]int
	suppressedLines int // lines suppressed since the last summary

	arrived, served, failed, gone int
	refused                       map[string]int // by reason
	outcomes                      map[string]int // of attempts, by code
	opened                        int            // connections opened to servers
	servers                       map[string]*serverStats
	shedAtArrival                 int64         // requests refused on arrival because of the loop's lag
	maxWait, maxHandling          time.Duration // longest wait and handling time of the loop's events
}

// serverStats counts the attempts at one server that ended since the last summary.
type serverStats struct {
	ended, ok  int
	okTime     time.Duration // total time of the successful attempts
	lastReport []float64     // the most recent load report
}

// increment adds one to a counter in a map, which is allocated on first use.
func increment(m *map[string]int, name string) {
	if *m == nil {
		*m = make(map[string]int)
	}
	(*m)[name]++
}

// mayWrite reports whether a line may be written for a reason, and counts it against this second's budget.
func (l *requestLog) mayWrite(now policy.Time, reason string) bool {
	if s := now.Truncate(time.Second); s != l.lineSecond {
		l.lineSecond, l.linesByReason = s, nil
	}
	if l.linesByReason[reason] >= linesPerSecond {
		l.suppressedLines++
		return false
	}
	increment(&l.linesByReason, reason)
	return true
}

// mayWriteOnce is like mayWrite with a budget of one line per second.
func (l *requestLog) mayWriteOnce(now policy.Time, reason string) bool {
	if now.Truncate(time.Second) == l.lineSecond && l.linesByReason[reason] > 0 {
		l.suppressedLines++
		return false
	}
	return l.mayWrite(now, reason)
}

// recordLag records how long an event waited for the loop and how long it took to handle.
func (l *requestLog) recordLag(waited, took time.Duration) {
	l.maxWait, l.maxHandling = max(l.maxWait, waited), max(l.maxHandling, took)
}

// recordShed records a request that was refused without the decision module.
func (l *requestLog) recordShed(reason string) {
	l.arrived++
	increment(&l.refused, reason)
	l.metrics.countShed(reason)
}

// cpuTime returns the CPU time of the process since its start; 0 if it can't be read.
func cpuTime() time.Duration {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// recordAttempt records the end of an attempt, and logs a failed one with its underlying error.
func (l *requestLog) recordAttempt(now policy.Time, r *request, n int, e attemptResult) {
	a := &r.attempts[n]
	a.took = now - a.sentAt
	increment(&l.outcomes, e.code.String())
	l.metrics.attempts.WithLabelValues(e.code.String()).Inc()
	l.metrics.attemptTime.Observe(a.took.Seconds())
	if e.opened {
		l.opened++
		l.metrics.serverConnsOpened.Inc()
	}
	if l.servers == nil {
		l.servers = make(map[string]*serverStats)
	}
	s := l.servers[a.server]
	if s == nil {
		s = new(serverStats)
		l.servers[a.server] = s
	}
	s.ended++
	if e.code == policy.OK {
		s.ok++
		s.okTime += a.took
	}
	if e.report != nil {
		s.lastReport = e.report
	}
	switch e.code {
	case policy.OK, policy.Full, policy.Cancelled:
		return
	}
	if l.mayWrite(now, "attempt "+e.code.String()) {
		slog.Warn("attempt failed", "id", r.req.ID, "server", a.server, "attempt", n, "outcome", e.code,
			"took", a.took, "opened", e.opened, "reused", e.connRequests, "idle", e.connIdle, "err", e.err)
	}
}

// recordEnd records how a request ended; by is the component that ended it, or the reason.
func (l *requestLog) recordEnd(now policy.Time, r *request, a answer, by string) {
	if len(r.attempts) == 0 {
		l.metrics.holdTime.WithLabelValues(by).Observe((now - r.arrivedAt).Seconds())
	}
	level := slog.LevelInfo
	switch {
	case a.status == http.StatusOK:
		l.served++
		l.metrics.requests.WithLabelValues(resultServed).Inc()
		return
	case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
		increment(&l.refused, by)
		l.metrics.requests.WithLabelValues(resultRefused).Inc()
		l.metrics.refusals.WithLabelValues(by).Inc()
	case a.status == 0:
		l.gone++
		l.metrics.requests.WithLabelValues(resultLeft).Inc()
	default:
		l.failed++
		l.metrics.requests.WithLabelValues(resultFailed).Inc()
		level = slog.LevelWarn
	}
	if !slog.Default().Enabled(context.Background(), level) || !l.mayWrite(now, by) {
		return
	}
	slog.Log(context.Background(), level, "not served", "id", r.req.ID, "class", r.req.Class,
		"tenant", r.req.Tenant, "retry", r.req.Retry, "status", a.status, "by", by,
		"after", now-r.arrivedAt, "waits", r.clientTimeout, "retry_after", a.retryAfter, "attempts", r.history())
}

// history describes a request's attempts in order.
func (r *request) history() string {
	var b strings.Builder
	for i, a := range r.attempts {
		if i > 0 {
			b.WriteByte(' ')
		}
		outcome := "out"
		if a.ended {
			outcome = fmt.Sprintf("%v:%.1fms", a.code, a.took.Seconds()*1e3)
		}
		fmt.Fprintf(&b, "%s@%.1fms=%s", a.server, (a.sentAt-r.arrivedAt).Seconds()*1e3, outcome)
	}
	return b.String()
}

// serverSummary describes for each server how many attempts ended, how many of them succeeded, the mean time of these, and
// its last load report. If there are more than maxSummaryServers, the least relevant are omitted and counted.
func (l *requestLog) serverSummary() string {
	var b strings.Builder
	ids := slices.Sorted(maps.Keys(l.servers))
	omitted := len(ids) - maxSummaryServers
	if omitted > 0 {
		slices.SortStableFunc(ids, func(x, y string) int {
			first, second := l.servers[x], l.servers[y]
			return cmp.Or(cmp.Compare(second.ended-second.ok, first.ended-first.ok), cmp.Compare(second.ended, first.ended))
		})
		ids = ids[:maxSummaryServers]
		slices.Sort(ids)
	}
	for i, id := range ids {
		if i > 0 {
			b.WriteByte(' ')
		}
		s := l.servers[id]
		fmt.Fprintf(&b, "%s=%d/%d/%.0fms%.3g", id, s.ended, s.ok, s.okTime.Seconds()*1e3/float64(max(1, s.ok)), s.lastReport)
	}
	if omitted > 0 {
		fmt.Fprintf(&b, " left_out=%d", omitted)
	}
	return b.String()
}

// logSettings logs the totals and extremes of the configured classes and tenants, and each of them only if there are few:
// at a large site the log must not contain the whole list of tenants.
func logSettings(settings policy.Settings) {
	if n := len(settings.Classes); n > 0 {
		least, most := settings.Classes[0], settings.Classes[0] // those with the shortest and the longest aim
		shortest, longest := least.Deadline, least.Deadline
		for _, c := range settings.Classes {
			if n <= maxLoggedNames {
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
	if n := len(settings.Tenants); n > 0 {
		least, most, sum, withoutQuota := settings.Tenants[0], settings.Tenants[0], 0.0, 0
		for _, t := range settings.Tenants {
			if n <= maxLoggedNames {
				slog.Info("tenant", "name", t.Name, "quota_rps", t.Quota)
			}
			if sum += t.Quota; t.Quota == 0 {
				withoutQuota++
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
			"without_quota", withoutQuota)
	}
}

// writeSummary logs the counts since the last summary and the state of the decision module, and resets the counts.
func (l *requestLog) writeSummary(open, clients, evicted, queued int, moduleState string, monitor *invariant.Monitor) {
	denied, violated := monitor.Counts()
	slog.Info("summary", "clients", clients, "evicted", evicted, "arrived", l.arrived, "served", l.served, "refused", l.refused, "failed", l.failed,
		"gone", l.gone, "open", open, "attempts", l.outcomes, "opened", l.opened,
		"queued", queued, "most_waited", l.maxWait, "most_took", l.maxHandling, "shed_at_arrival", l.shedAtArrival, "processor_time", cpuTime(),
		"denied", denied, "violations", violated, "lines_left_out", l.suppressedLines, "servers", l.serverSummary(), "module", moduleState)
	*l = requestLog{metrics: l.metrics, lineSecond: l.lineSecond, linesByReason: l.linesByReason}
}
