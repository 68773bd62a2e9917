package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxWatchWait           = time.Minute // upper bound of the wait parameter (PROTOCOL, Discovery)
	maxLogEntries          = 4096        // entries in the change log; a watch from an older revision gets the full list
	maxCachedDeltas        = 64          // encoded deltas cached per current revision
	registryMaxHeaderBytes = 8 << 10     // bytes
	readHeaderTimeout      = 10 * time.Second
	registryIdleTimeout    = 2 * time.Minute
	relistenInterval       = 10 * time.Millisecond // between retries while the port is in use
	relistenTimeout        = 5 * time.Second
)

// RegistryConfig configures a Registry. Members is the list at revision 1.
type RegistryConfig struct {
	Listeners int // each has its own port, so that traffic can be attributed to nodes
	Limits    DiscoveryLimits
	Members   []Entry
}

// RegistryStats are the totals of one listener since the start. BytesIn and BytesOut count everything on the
// connections, including headers; DeltaBytes and FullListBytes count response bodies only.
type RegistryStats struct {
	Connections   int64 `json:"connections"` // accepted
	Open          int64 `json:"open"`        // connections open now
	WatchCalls    int64 `json:"watch_calls"`
	FullListCalls int64 `json:"whole_calls"` // calls without an index parameter
	Deltas        int64 `json:"deltas"`      // responses with changed entries
	EmptyDeltas   int64 `json:"empty_deltas"`
	FullLists     int64 `json:"whole_lists"`
	Failures      int64 `json:"failures"` // calls that ended without a list: 503, or the connection closed first
	BytesIn       int64 `json:"bytes_in"`
	BytesOut      int64 `json:"bytes_out"`
	DeltaBytes    int64 `json:"delta_bytes"`
	FullListBytes int64 `json:"whole_bytes"`
}

// registryCounters are the live counters behind RegistryStats.
type registryCounters struct {
	connections, open, watchCalls, fullListCalls, deltas, emptyDeltas, fullLists, failures,
	bytesIn, bytesOut, deltaBytes, fullListBytes atomic.Int64
}

func (c *registryCounters) stats() RegistryStats {
	return RegistryStats{Connections: c.connections.Load(), Open: c.open.Load(), WatchCalls: c.watchCalls.Load(),
		FullListCalls: c.fullListCalls.Load(), Deltas: c.deltas.Load(), EmptyDeltas: c.emptyDeltas.Load(),
		FullLists: c.fullLists.Load(), Failures: c.failures.Load(), BytesIn: c.bytesIn.Load(),
		BytesOut: c.bytesOut.Load(), DeltaBytes: c.deltaBytes.Load(), FullListBytes: c.fullListBytes.Load()}
}

// Registry simulates the discovery service (PROTOCOL, Discovery): it serves one list on several listeners. Its
// methods are safe for concurrent use.
type Registry struct {
	ctx       context.Context // cancelled by Close
	cancel    context.CancelFunc
	endpoints []*registryEndpoint
	wg        sync.WaitGroup // goroutines that serve or reopen listeners

	queue callQueue

	mu      sync.Mutex
	list    changeLog
	changed chan struct{} // closed and replaced on each change
	silence timedFault
	outage  timedFault
	closing bool
}

// timedFault is a fault that ends after a set time. The owner's lock guards it.
type timedFault struct {
	until time.Time
	done  chan struct{} // closed when the fault ends; nil if no fault is active
	timer *time.Timer
}

// begin starts the fault, or extends an active one that would end earlier. It calls onEnd when the time is up.
func (f *timedFault) begin(d time.Duration, onEnd func()) {
	until := time.Now().Add(d)
	if f.done == nil {
		f.done, f.until = make(chan struct{}), until
		f.timer = time.AfterFunc(d, onEnd)
	} else if until.After(f.until) {
		f.until = until
		f.timer.Reset(d)
	}
}

// endIfDue ends an active fault whose time is up and reports whether it did. A timer that fired just before begin
// reset it has no effect.
func (f *timedFault) endIfDue() bool {
	if f.done == nil || time.Now().Before(f.until) {
		return false
	}
	close(f.done)
	f.done = nil
	return true
}

// StartRegistry listens on loopback ports that it picks itself, and serves until Close.
func StartRegistry(c RegistryConfig) (*Registry, error) {
	r, err := newRegistry(c)
	if err != nil {
		return nil, err
	}
	for range c.Listeners {
		ln, err := listenLoopback()
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("discovery: %w", err)
		}
		ep := r.addEndpoint(ln.Addr().String())
		ep.server = &http.Server{Handler: ep, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: registryIdleTimeout,
			MaxHeaderBytes: registryMaxHeaderBytes}
		ep.serve(ln)
	}
	return r, nil
}

// newRegistry returns a registry without listeners.
func newRegistry(c RegistryConfig) (*Registry, error) {
	if c.Listeners < 1 {
		return nil, fmt.Errorf("discovery: listeners: want 1 or more, got %d", c.Listeners)
	}
	r := &Registry{changed: make(chan struct{}), queue: callQueue{maxWait: c.Limits.QueueLimit.Duration}}
	if c.Limits.CallsPerSecond > 0 {
		r.queue.timePerCall = time.Duration(float64(time.Second) / c.Limits.CallsPerSecond)
	}
	r.list.init(c.Members)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r, nil
}

func (r *Registry) addEndpoint(addr string) *registryEndpoint {
	ep := &registryEndpoint{registry: r, addr: addr, conns: make(map[*countedConn]struct{})}
	r.endpoints = append(r.endpoints, ep)
	return ep
}

// Addresses returns the host and port of each listener, in the order of Stats.
func (r *Registry) Addresses() []string {
	addresses := make([]string, len(r.endpoints))
	for i, ep := range r.endpoints {
		addresses[i] = ep.addr
	}
	return addresses
}

// Stats returns the totals of each listener.
func (r *Registry) Stats() []RegistryStats {
	stats := make([]RegistryStats, len(r.endpoints))
	for i, ep := range r.endpoints {
		stats[i] = ep.counters.stats()
	}
	return stats
}

// Change applies changed entries to the list as one revision and wakes the watches. visibleAt is the earliest time at
// which a watch can return the revision: now, or the end of an active fault.
func (r *Registry) Change(entries []Entry) (revision int64, visibleAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.addRevision(entries)
	close(r.changed)
	r.changed = make(chan struct{})
	visibleAt = time.Now()
	for _, f := range []*timedFault{&r.silence, &r.outage} {
		if f.done != nil && f.until.After(visibleAt) {
			visibleAt = f.until
		}
	}
	return r.list.revision, visibleAt
}

// Silence delays the response to every call and watch until d has passed. Connections are still accepted.
func (r *Registry) Silence(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closing {
		r.silence.begin(d, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.silence.endIfDue()
		})
	}
}

// TakeDown resets all connections and refuses new ones until d has passed. Then it listens on the same ports again.
func (r *Registry) TakeDown(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closing {
		return
	}
	r.outage.begin(d, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.outage.endIfDue() || r.closing {
			return
		}
		for _, ep := range r.endpoints {
			r.wg.Go(ep.relisten)
		}
	})
	for _, ep := range r.endpoints {
		ep.reset()
	}
}

// Close closes all listeners and connections, and ends all calls.
func (r *Registry) Close() {
	r.mu.Lock()
	r.closing = true
	for _, f := range []*timedFault{&r.silence, &r.outage} {
		if f.timer != nil {
			f.timer.Stop()
		}
	}
	r.mu.Unlock()
	r.cancel()
	for _, ep := range r.endpoints {
		ep.reset()
		ep.server.Close()
	}
	r.wg.Wait()
}

// errQueueTooLong fails a call that would have to wait in the queue for longer than its limit.
var errQueueTooLong = errors.New("the queue is too long")

// callQueue models a single server that handles all calls in sequence.
type callQueue struct {
	timePerCall time.Duration // service time of one call; 0 disables the queue
	maxWait     time.Duration // longest wait for a turn, after which the call fails; 0: no limit

	mu        sync.Mutex
	busyUntil time.Time // when the calls accepted so far are done
}

// waitTurn waits for a call's turn and its service time. A cancelled call keeps its place in the queue, because a
// server only notices when it responds.
func (q *callQueue) waitTurn(ctx context.Context) error {
	if q.timePerCall == 0 {
		return nil
	}
	q.mu.Lock()
	now := time.Now()
	if q.busyUntil.Before(now) {
		q.busyUntil = now
	}
	wait := q.busyUntil.Sub(now)
	rejected := q.maxWait > 0 && wait > q.maxWait
	if rejected {
		wait = q.maxWait
	} else {
		q.busyUntil = q.busyUntil.Add(q.timePerCall)
		wait += q.timePerCall
	}
	q.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return ctx.Err()
	}
	if rejected {
		return errQueueTooLong
	}
	return nil
}

// changeLog holds the current list and its latest changes. Entries are stored as JSON.
type changeLog struct {
	revision      int64
	members       []loggedEntry  // unordered
	index         map[string]int // position in members, by id
	log           []loggedEntry  // the latest changed entries, oldest first
	completeSince int64          // the log holds every change after this revision

	cachedDeltas   map[int64][]byte // encoded changes from a revision to the current one
	cachedFullList []byte           // encoded full list at the current revision; nil if not encoded yet
}

// loggedEntry is an entry as JSON and the revision that set it.
type loggedEntry struct {
	revision int64
	id       string
	raw      []byte
}

func (l *changeLog) init(members []Entry) {
	l.revision, l.completeSince = 1, 1
	l.index, l.cachedDeltas = make(map[string]int, len(members)), make(map[int64][]byte)
	for _, e := range members {
		l.apply(e)
	}
}

// apply inserts, replaces or removes an entry of the list, and returns its log entry.
func (l *changeLog) apply(e Entry) loggedEntry {
	raw, err := json.Marshal(e)
	if err != nil { // only if Size is NaN or infinite
		panic(fmt.Sprintf("discovery: entry %s: %v", e.ID, err))
	}
	logged := loggedEntry{revision: l.revision, id: e.ID, raw: raw}
	i, listed := l.index[e.ID]
	switch last := len(l.members) - 1; {
	case e.Phase != phaseRemoved && listed:
		l.members[i] = logged
	case e.Phase != phaseRemoved:
		l.index[e.ID] = len(l.members)
		l.members = append(l.members, logged)
	case listed:
		l.members[i] = l.members[last]
		l.index[l.members[i].id] = i
		l.members = l.members[:last]
		delete(l.index, e.ID)
	}
	return logged
}

// addRevision applies entries as the next revision and drops the oldest revisions from a log that is too long.
func (l *changeLog) addRevision(entries []Entry) {
	l.revision++
	l.cachedFullList = nil
	clear(l.cachedDeltas)
	for _, e := range entries {
		l.log = append(l.log, l.apply(e))
	}
	excess := len(l.log) - maxLogEntries
	if excess <= 0 {
		return
	}
	l.completeSince = l.log[excess-1].revision
	for excess < len(l.log) && l.log[excess].revision == l.completeSince { // drop every entry of a revision or none
		excess++
	}
	clear(l.log[:excess])
	l.log = l.log[excess:]
}

// since returns the response body for a watch from the revision: the latest state of each entry that changed after
// it, or the full list where the log doesn't reach back that far or the revision is newer than the list. Callers share
// the bytes and must not modify them.
func (l *changeLog) since(revision int64) (body []byte, full bool) {
	if revision < l.completeSince || revision > l.revision {
		return l.fullList(), true
	}
	if body := l.cachedDeltas[revision]; body != nil {
		return body, false
	}
	var latest []loggedEntry // newest first
	seen := make(map[string]bool)
	for i := len(l.log) - 1; i >= 0 && l.log[i].revision > revision; i-- {
		if e := l.log[i]; !seen[e.id] {
			seen[e.id] = true
			latest = append(latest, e)
		}
	}
	for i, j := 0, len(latest)-1; i < j; i, j = i+1, j-1 {
		latest[i], latest[j] = latest[j], latest[i]
	}
	body = l.encode(false, latest)
	if len(l.cachedDeltas) < maxCachedDeltas {
		l.cachedDeltas[revision] = body
	}
	return body, false
}

func (l *changeLog) fullList() []byte {
	if l.cachedFullList == nil {
		l.cachedFullList = l.encode(true, l.members)
	}
	return l.cachedFullList
}

func (l *changeLog) encode(complete bool, entries []loggedEntry) []byte {
	size := 64
	for _, e := range entries {
		size += len(e.raw) + 1
	}
	body := fmt.Appendf(make([]byte, 0, size), `{"revision":%d,"complete":%t,"members":[`, l.revision, complete)
	for i, e := range entries {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, e.raw...)
	}
	return append(body, "]}"...)
}

// registryResponse is the result of one call. empty marks a delta without changes.
type registryResponse struct {
	body        []byte
	full, empty bool
}

// awaitSilenceEnd waits for an active silence to end, for ctx or for Close.
func (r *Registry) awaitSilenceEnd(ctx context.Context) error {
	r.mu.Lock()
	silenceEnd := r.silence.done
	r.mu.Unlock()
	if silenceEnd == nil {
		return nil
	}
	select {
	case <-silenceEnd:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}

// respond produces the response to one call. A watch waits up to wait for the list to differ from the revision.
func (r *Registry) respond(ctx context.Context, watch bool, revision int64, wait time.Duration) (registryResponse, error) {
	if err := r.awaitSilenceEnd(ctx); err != nil {
		return registryResponse{}, err
	}
	if err := r.queue.waitTurn(ctx); err != nil {
		r.awaitSilenceEnd(ctx) // a silence delays the error response too
		return registryResponse{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := wait <= 0; ; {
		r.mu.Lock()
		var response registryResponse
		silenceEnd, changed := r.silence.done, r.changed
		switch {
		case silenceEnd != nil: // no response during a silence
		case !watch:
			response = registryResponse{body: r.list.fullList(), full: true}
		case expired || revision != r.list.revision:
			response.empty = revision == r.list.revision
			response.body, response.full = r.list.since(revision)
		}
		r.mu.Unlock()
		switch {
		case response.body != nil:
			return response, nil
		case silenceEnd != nil:
			changed = nil // only the end of the silence wakes the call
		}
		select {
		case <-changed:
		case <-silenceEnd:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return registryResponse{}, ctx.Err()
		case <-r.ctx.Done():
			return registryResponse{}, r.ctx.Err()
		}
	}
}

// registryEndpoint is one listener with its connections and counters.
type registryEndpoint struct {
	registry *Registry
	addr     string
	server   *http.Server
	counters registryCounters

	mu       sync.Mutex
	listener net.Listener // nil while not listening
	conns    map[*countedConn]struct{}
}

// ServeHTTP answers GET /registry/instances.
func (ep *registryEndpoint) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodGet || req.URL.Path != "/registry/instances" {
		http.NotFound(w, req)
		return
	}
	watch, revision, wait, err := parseListQuery(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if watch {
		ep.counters.watchCalls.Add(1)
	} else {
		ep.counters.fullListCalls.Add(1)
	}
	response, err := ep.registry.respond(req.Context(), watch, revision, wait)
	if err != nil {
		ep.counters.failures.Add(1)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	size := int64(len(response.body))
	switch {
	case response.full:
		ep.counters.fullLists.Add(1)
		ep.counters.fullListBytes.Add(size)
	case response.empty:
		ep.counters.emptyDeltas.Add(1)
		ep.counters.deltaBytes.Add(size)
	default:
		ep.counters.deltas.Add(1)
		ep.counters.deltaBytes.Add(size)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	w.Write(response.body) // a write error means that the client has disconnected
}

// parseListQuery reads the index and wait parameters. A call with an index is a watch.
func parseListQuery(req *http.Request) (watch bool, revision int64, wait time.Duration, err error) {
	query := req.URL.Query()
	if !query.Has("index") {
		return false, 0, 0, nil
	}
	if revision, err = strconv.ParseInt(query.Get("index"), 10, 64); err != nil {
		return false, 0, 0, fmt.Errorf("index: want a whole number, got %q", query.Get("index"))
	}
	if query.Has("wait") {
		ms, err := strconv.ParseUint(query.Get("wait"), 10, 32)
		if err != nil {
			return false, 0, 0, fmt.Errorf("wait: want milliseconds, got %q", query.Get("wait"))
		}
		wait = min(time.Duration(ms)*time.Millisecond, maxWatchWait)
	}
	return true, revision, wait, nil
}

// serve accepts connections from the listener in the background until it is closed.
func (ep *registryEndpoint) serve(ln net.Listener) {
	ep.mu.Lock()
	ep.listener = ln
	ep.mu.Unlock()
	ep.registry.wg.Go(func() {
		ep.server.Serve(&countedListener{ln, ep}) // the error only says that the listener was closed
	})
}

// relisten binds the port again after an outage. It retries, because another socket may hold the port briefly.
func (ep *registryEndpoint) relisten() {
	for deadline := time.Now().Add(relistenTimeout); ep.closed(); {
		ln, err := net.Listen("tcp4", ep.addr)
		if err == nil {
			ep.registry.mu.Lock()
			defer ep.registry.mu.Unlock()
			if ep.registry.closing || ep.registry.outage.done != nil { // a new outage has begun; its end reopens the listener
				ln.Close()
				return
			}
			ep.serve(ln)
			return
		}
		if time.Now().After(deadline) {
			slog.Error("discovery: cannot listen again", "address", ep.addr, "error", err)
			return
		}
		select {
		case <-time.After(relistenInterval):
		case <-ep.registry.ctx.Done():
			return
		}
	}
}

// closed reports whether the endpoint has no listener.
func (ep *registryEndpoint) closed() bool {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return ep.listener == nil
}

// reset closes the listener, and then resets its connections with a TCP RST.
func (ep *registryEndpoint) reset() {
	ep.mu.Lock()
	ln := ep.listener
	ep.listener = nil
	conns := make([]*countedConn, 0, len(ep.conns))
	for c := range ep.conns {
		conns = append(conns, c)
	}
	ep.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

// countedListener counts accepted connections and wraps them in countedConn.
type countedListener struct {
	net.Listener
	endpoint *registryEndpoint
}

func (l *countedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		counted := &countedConn{Conn: c, endpoint: l.endpoint}
		l.endpoint.counters.connections.Add(1)
		l.endpoint.counters.open.Add(1)
		l.endpoint.mu.Lock()
		l.endpoint.conns[counted] = struct{}{}
		stale := l.endpoint.listener != l.Listener // the endpoint was reset while the connection was being accepted
		l.endpoint.mu.Unlock()
		if !stale {
			return counted, nil
		}
		counted.reset()
	}
}

// countedConn counts the bytes of a connection, and decrements the count of open connections when it is closed.
type countedConn struct {
	net.Conn
	endpoint *registryEndpoint
	once     sync.Once
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.endpoint.counters.bytesIn.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	c.endpoint.counters.bytesOut.Add(int64(len(b))) // count before the peer can read them; corrected below
	n, err := c.Conn.Write(b)
	c.endpoint.counters.bytesOut.Add(int64(n - len(b)))
	return n, err
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.endpoint.counters.open.Add(-1)
		c.endpoint.mu.Lock()
		delete(c.endpoint.conns, c)
		c.endpoint.mu.Unlock()
	})
	return c.Conn.Close()
}

// reset closes the connection with a TCP RST.
func (c *countedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// FreeLoopbackPort returns a port that is free on the wildcard address. It lies below the ephemeral port range, so
// that no outgoing connection takes it, or connects to itself while nothing listens there.
func FreeLoopbackPort() (int, error) {
	ln, err := listenBelowEphemeral("0.0.0.0")
	if err != nil {
		return 0, err
	}
	return ln.Addr().(*net.TCPAddr).Port, ln.Close()
}

func listenLoopback() (net.Listener, error) { return listenBelowEphemeral("127.0.0.1") }

// listenBelowEphemeral listens on a random free port of host below the ephemeral port range.
func listenBelowEphemeral(host string) (net.Listener, error) {
	const minPort, maxTries = 10_000, 100
	ephemeralStart := 32_768 // the Linux default
	if raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		fmt.Sscan(string(raw), &ephemeralStart)
	}
	var err error
	for range maxTries {
		port := 0 // chosen by the kernel if the ephemeral range leaves no ports below it
		if ephemeralStart > minPort {
			port = minPort + rand.IntN(ephemeralStart-minPort)
		}
		var ln net.Listener
		if ln, err = net.Listen("tcp4", net.JoinHostPort(host, strconv.Itoa(port))); err == nil {
			return ln, nil
		}
	}
	return nil, fmt.Errorf("no free port: %w", err)
}
