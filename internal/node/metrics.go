package node

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cobaltward/internal/invariant"
)

// Results of client requests, the label values of wayhold_requests_total.
const (
	resultServed  = "served"
	resultRefused = "refused"
	resultFailed  = "failed"
	resultLeft    = "client_left"
)

// Reasons for closing client connections, the label values of wayhold_client_connections_closed_total.
const (
	closedEvicted       = "room"      // evicted in favour of another connection
	closedIdle          = "idle"      // had no request for too long
	closedDraining      = "sent_away" // the process is in standby or shutting down
	closedRejected      = "rejected"  // sent an invalid request
	closedByClient      = "client"    // the client disconnected first
	closedAfterResponse = "answered"  // closed with a response that had Connection: close
)

// heldUntilSent is the label value of wayhold_request_held_seconds for a wait that ended with an attempt.
const heldUntilSent = "sent"

// metrics holds the node's Prometheus metrics. They are updated whether or not they are scraped.
type metrics struct {
	registry *prometheus.Registry

	requests          *prometheus.CounterVec
	refusals          *prometheus.CounterVec
	attempts          *prometheus.CounterVec
	retries           *prometheus.CounterVec
	clientConnsClosed *prometheus.CounterVec
	serverConnsOpened prometheus.Counter
	attemptTime       prometheus.Histogram

	loopLag      prometheus.Histogram
	loopWork     *prometheus.HistogramVec
	holdTime     *prometheus.HistogramVec
	listDelay    prometheus.Histogram
	requestsHeld prometheus.Gauge
}

func newMetrics() *metrics {
	vector := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	m := &metrics{
		registry:          prometheus.NewRegistry(),
		requests:          vector("wayhold_requests_total", "Client requests by how they ended.", "result"),
		refusals:          vector("wayhold_refusals_total", "Refused client requests by the reason.", "reason"),
		attempts:          vector("wayhold_attempts_total", "Attempts at servers by their outcome.", "outcome"),
		retries:           vector("wayhold_retries_total", "Further attempts by the outcome of the one before.", "after"),
		clientConnsClosed: vector("wayhold_client_connections_closed_total", "Client connections that the node closed.", "reason"),
		serverConnsOpened: prometheus.NewCounter(prometheus.CounterOpts{Name: "wayhold_server_connections_opened_total",
			Help: "Connections to servers that were opened, or were to be."}),
		attemptTime: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "wayhold_attempt_seconds",
			Help: "Time from an attempt's beginning to its outcome.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}),
	}
	histogram := func(name, help string, least float64) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(least, 4, 10)})
	}
	histograms := func(name, help string, least float64, label string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(least, 4, 10)}, []string{label})
	}
	m.loopLag = histogram("wayhold_loop_lag_seconds", "Time that events waited for the decision loop.", 1e-5)
	m.loopWork = histograms("wayhold_loop_work_seconds", "Time that the decision loop took for an event, by its kind.", 1e-6, "event")
	m.holdTime = histograms("wayhold_request_held_seconds",
		"Time from a request's arrival to its first attempt (sent), or to its end without one, by the reason.", 1e-5, "end")
	m.listDelay = histogram("wayhold_list_in_force_seconds", "Time from when news of the list was heard to when decisions went by it.", 1e-5)
	m.requestsHeld = prometheus.NewGauge(prometheus.GaugeOpts{Name: "wayhold_requests_held", Help: "Requests that wait for a server."})
	m.registry.MustRegister(m.loopLag, m.loopWork, m.holdTime, m.listDelay, m.requestsHeld)
	m.registry.MustRegister(m.requests, m.refusals, m.attempts, m.retries, m.clientConnsClosed, m.serverConnsOpened, m.attemptTime)
	return m
}

// countShed counts a request that was refused without the decision module.
func (m *metrics) countShed(reason string) {
	m.requests.WithLabelValues(resultRefused).Inc()
	m.refusals.WithLabelValues(reason).Inc()
}

// newUnsolicitedCounter creates the counter of connections with unsolicited bytes from servers.
func newUnsolicitedCounter() prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "wayhold_unasked_answers_total",
		Help: "Connections on which a server sent what nobody had asked for."})
}

// registerSources registers metrics whose values other components hold: the rules, the connections, the phase and the
// dropped log lines.
func (m *metrics) registerSources(monitor *invariant.Monitor, clients *clientListener, up *upstream, life *lifecycle, logDropped func() int64) {
	m.registry.MustRegister(ruleCollector{monitor}, up.unsolicited)
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("wayhold_client_connections", "Client connections that are open.", func() float64 { return float64(clients.openCount()) })
	gauge("wayhold_server_connections", "Connections to servers that are open or being made.",
		func() float64 { return float64(up.openCount()) })
	gauge("wayhold_ready", "1 while the front may send clients, else 0.", func() float64 {
		if life.ready() {
			return 1
		}
		return 0
	})
	gauge("wayhold_phase", "The process's phase: 0 starting, 1 active, 2 standby, 3 leaving, 4 closing.",
		func() float64 { return float64(life.phase()) })
	if logDropped != nil {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "wayhold_log_lines_dropped_total",
			Help: "Log lines that were never written."}, func() float64 { return float64(logDropped()) }))
	}
}

// handler serves all metrics in the Prometheus text format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}

// ruleCollector exports the counts of an invariant monitor.
type ruleCollector struct{ monitor *invariant.Monitor }

var (
	denialsDesc = prometheus.NewDesc("wayhold_rule_denials_total",
		"Steps that were not made, for they would have broken a rule.", []string{"rule"}, nil)
	violationsDesc = prometheus.NewDesc("wayhold_rule_violations_total", "Rules that were found broken.", []string{"rule"}, nil)
)

// Describe implements prometheus.Collector.
func (c ruleCollector) Describe(to chan<- *prometheus.Desc) {
	to <- denialsDesc
	to <- violationsDesc
}

// Collect implements prometheus.Collector. It exports the counts of every rule, including those that are 0.
func (c ruleCollector) Collect(to chan<- prometheus.Metric) {
	for _, r := range invariant.Rules() {
		to <- prometheus.MustNewConstMetric(denialsDesc, prometheus.CounterValue, float64(c.monitor.Denied(r)), r.String())
		to <- prometheus.MustNewConstMetric(violationsDesc, prometheus.CounterValue, float64(c.monitor.Violations(r)), r.String())
	}
}
