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
	maxWatchWait   = time.Minute // of one watch (PROTOCOL, Discovery)
	maxRemembered  = 4096        // changed entries; a watch from before them gets the whole list
	maxDeltas      = 64          // encoded answers kept for one revision
	maxHeader      = 8 << 10     // bytes
	headTimeout    = 10 * time.Second
	registryIdle   = 2 * time.Minute
	listenAgain    = 10 * time.Millisecond // between tries, while the port can't be had
	listenAgainFor = 5 * time.Second
)

// RegistryConfig is what the stand-in for discovery begins with. Members are revision 1.
type RegistryConfig struct {
	Listeners int // each at a port of its own, to tell the traffic of nodes apart
	Plan      DiscoveryPlan
	Members   []Entry
}

// RegistryStats are one listener's totals since the start. Bytes are counted on the connections, headers and
// all; DeltaBytes and WholeBytes are those of bodies.
type RegistryStats struct {
	Connections int64 `json:"connections"` // accepted
	Open        int64 `json:"open"`        // connections, now
	WatchCalls  int64 `json:"watch_calls"`
	WholeCalls  int64 `json:"whole_calls"` // calls without an index
	Deltas      int64 `json:"deltas"`      // answers with changes
	EmptyDeltas int64 `json:"empty_deltas"`
	WholeLists  int64 `json:"whole_lists"`
	Failures    int64 `json:"failures"` // calls that ended without a list: 503, or the connection ended first
	BytesIn     int64 `json:"bytes_in"`
	BytesOut    int64 `json:"bytes_out"`
	DeltaBytes  int64 `json:"delta_bytes"`
	WholeBytes  int64 `json:"whole_bytes"`
}

// registryCounters are RegistryStats as they grow.
type registryCounters struct {
	connections, open, watchCalls, wholeCalls, deltas, emptyDeltas, wholeLists, failures,
	bytesIn, bytesOut, deltaBytes, wholeBytes atomic.Int64
}

func (c *registryCounters) stats() RegistryStats {
	return RegistryStats{Connections: c.connections.Load(), Open: c.open.Load(), WatchCalls: c.watchCalls.Load(),
		WholeCalls: c.wholeCalls.Load(), Deltas: c.deltas.Load(), EmptyDeltas: c.emptyDeltas.Load(),
		WholeLists: c.wholeLists.Load(), Failures: c.failures.Load(), BytesIn: c.bytesIn.Load(),
		BytesOut: c.bytesOut.Load(), DeltaBytes: c.deltaBytes.Load(), WholeBytes: c.wholeBytes.Load()}
}

// Registry stands in for discovery (PROTOCOL, Discovery): one list, told at several listeners. All its
// methods may be called at the same time.
type Registry struct {
	ctx   context.Context // ends with Close
	stop  context.CancelFunc
	ports []*registryPort
	work  sync.WaitGroup // the goroutines of listeners

	queue callQueue

	mu       sync.Mutex
	list     changeLog
	changed  chan struct{} // closed at the next change
	silence  timedFault
	gone     timedFault
	stopping bool
}

// timedFault is something that ends by itself. It is guarded by its owner's lock.
type timedFault struct {
	until time.Time
	over  chan struct{} // closed at the end; nil: there is no fault
	timer *time.Timer
}

// begin starts the fault, or lengthens it where it would end earlier.
func (f *timedFault) begin(d time.Duration, end func()) {
	until := time.Now().Add(d)
	if f.over == nil {
		f.over, f.until = make(chan struct{}), until
		f.timer = time.AfterFunc(d, end)
	} else if until.After(f.until) {
		f.until = until
		f.timer.Reset(d)
	}
}

// end tells whether the fault is over now. A timer that went off just before it was set anew ends nothing.
func (f *timedFault) end() bool {
	if f.over == nil || time.Now().Before(f.until) {
		return false
	}
	close(f.over)
	f.over = nil
	return true
}

// StartRegistry listens at loopback ports of its own choice and answers until Close.
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
		p := r.addPort(ln.Addr().String())
		p.server = &http.Server{Handler: p, ReadHeaderTimeout: headTimeout, IdleTimeout: registryIdle,
			MaxHeaderBytes: maxHeader}
		p.serve(ln)
	}
	return r, nil
}

// newRegistry makes a registry that has no listener yet.
func newRegistry(c RegistryConfig) (*Registry, error) {
	if c.Listeners < 1 {
		return nil, fmt.Errorf("discovery: listeners: want 1 or more, got %d", c.Listeners)
	}
	r := &Registry{changed: make(chan struct{}), queue: callQueue{limit: c.Plan.QueueLimit.Duration}}
	if c.Plan.CallsPerSecond > 0 {
		r.queue.each = time.Duration(float64(time.Second) / c.Plan.CallsPerSecond)
	}
	r.list.init(c.Members)
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r, nil
}

func (r *Registry) addPort(addr string) *registryPort {
	p := &registryPort{r: r, addr: addr, open: make(map[*countedConn]struct{})}
	r.ports = append(r.ports, p)
	return p
}

// Addresses are host and port of each listener, in the order of Stats.
func (r *Registry) Addresses() []string {
	all := make([]string, len(r.ports))
	for i, p := range r.ports {
		all[i] = p.addr
	}
	return all
}

// Stats are the totals of each listener.
func (r *Registry) Stats() []RegistryStats {
	all := make([]RegistryStats, len(r.ports))
	for i, p := range r.ports {
		all[i] = p.count.stats()
	}
	return all
}

// Change takes changed entries into the list as one revision and wakes the watches. They could be told of it
// from the time at on: now, or the end of a fault.
func (r *Registry) Change(entries []Entry) (revision int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.add(entries)
	close(r.changed)
	r.changed = make(chan struct{})
	at = time.Now()
	for _, f := range []*timedFault{&r.silence, &r.gone} {
		if f.over != nil && f.until.After(at) {
			at = f.until
		}
	}
	return r.list.revision, at
}

// Silence has every call and watch wait for its answer until d has passed; connections are accepted.
func (r *Registry) Silence(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopping {
		r.silence.begin(d, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.silence.end()
		})
	}
}

// Gone resets all connections and has new ones refused until d has passed. Then the same ports listen again.
func (r *Registry) Gone(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return
	}
	r.gone.begin(d, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.gone.end() || r.stopping {
			return
		}
		for _, p := range r.ports {
			r.work.Go(p.listenAgain)
		}
	})
	for _, p := range r.ports {
		p.reset()
	}
}

// Close ends all listeners, connections and calls.
func (r *Registry) Close() {
	r.mu.Lock()
	r.stopping = true
	for _, f := range []*timedFault{&r.silence, &r.gone} {
		if f.timer != nil {
			f.timer.Stop()
		}
	}
	r.mu.Unlock()
	r.stop()
	for _, p := range r.ports {
		p.reset()
		p.server.Close()
	}
	r.work.Wait()
}

// errLate is the end of a call that would wait in the queue for longer than the limit.
var errLate = errors.New("the queue is too long")

// callQueue is the one server that all calls go through in turn.
type callQueue struct {
	each  time.Duration // that a call takes; 0: none
	limit time.Duration // that a call waits for its turn; 0: none

	mu   sync.Mutex
	free time.Time // when the calls taken in so far are done
}

// pass waits for a call's turn and its time. A call that is given up keeps its place: the server finds out
// when it answers.
func (q *callQueue) pass(ctx context.Context) error {
	if q.each == 0 {
		return nil
	}
	q.mu.Lock()
	now := time.Now()
	if q.free.Before(now) {
		q.free = now
	}
	wait := q.free.Sub(now)
	late := q.limit > 0 && wait > q.limit
	if late {
		wait = q.limit
	} else {
		q.free = q.free.Add(q.each)
		wait += q.each
	}
	q.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return ctx.Err()
	}
	if late {
		return errLate
	}
	return nil
}

// changeLog is the list and its latest changes. Entries are kept as JSON.
type changeLog struct {
	revision int64
	members  []loggedEntry  // in no order
	index    map[string]int // of an id in members
	log      []loggedEntry  // the latest changed entries, oldest first
	oldest   int64          // the log has all that changed since this revision

	deltas map[int64][]byte // from a revision to this one
	whole  []byte           // this one, or nil
}

type loggedEntry struct {
	revision int64
	id       string
	raw      []byte
}

func (l *changeLog) init(members []Entry) {
	l.revision, l.oldest = 1, 1
	l.index, l.deltas = make(map[string]int, len(members)), make(map[int64][]byte)
	for _, e := range members {
		l.set(e)
	}
}

// set puts an entry in its place and returns it as it is logged.
func (l *changeLog) set(e Entry) loggedEntry {
	raw, err := json.Marshal(e)
	if err != nil { // Size is not a number
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

func (l *changeLog) add(entries []Entry) {
	l.revision++
	l.whole = nil
	clear(l.deltas)
	for _, e := range entries {
		l.log = append(l.log, l.set(e))
	}
	over := len(l.log) - maxRemembered
	if over <= 0 {
		return
	}
	l.oldest = l.log[over-1].revision
	for over < len(l.log) && l.log[over].revision == l.oldest { // a revision is remembered whole or not
		over++
	}
	clear(l.log[:over])
	l.log = l.log[over:]
}

// since is the answer to a watch from the revision: the latest state of what changed after it, or the whole
// list. The bytes are shared.
func (l *changeLog) since(revision int64) (body []byte, whole bool) {
	if revision < l.oldest || revision > l.revision {
		return l.all(), true
	}
	if body := l.deltas[revision]; body != nil {
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
	if len(l.deltas) < maxDeltas {
		l.deltas[revision] = body
	}
	return body, false
}

func (l *changeLog) all() []byte {
	if l.whole == nil {
		l.whole = l.encode(true, l.members)
	}
	return l.whole
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

// registryAnswer is what a call gets.
type registryAnswer struct {
	body         []byte
	whole, empty bool
}

// heard waits for the end of a silence.
func (r *Registry) heard(ctx context.Context) error {
	r.mu.Lock()
	silent := r.silence.over
	r.mu.Unlock()
	if silent == nil {
		return nil
	}
	select {
	case <-silent:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}

// call answers one call, which waits for something newer than the revision where it is a watch.
func (r *Registry) call(ctx context.Context, watch bool, revision int64, wait time.Duration) (registryAnswer, error) {
	if err := r.heard(ctx); err != nil {
		return registryAnswer{}, err
	}
	if err := r.queue.pass(ctx); err != nil {
		r.heard(ctx) // a refusal waits for the end of a silence as well
		return registryAnswer{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := wait <= 0; ; {
		r.mu.Lock()
		var a registryAnswer
		silent, changed := r.silence.over, r.changed
		switch {
		case silent != nil:
		case !watch:
			a = registryAnswer{body: r.list.all(), whole: true}
		case over || revision != r.list.revision:
			a.empty = revision == r.list.revision
			a.body, a.whole = r.list.since(revision)
		}
		r.mu.Unlock()
		switch {
		case a.body != nil:
			return a, nil
		case silent != nil:
			changed = nil
		}
		select {
		case <-changed:
		case <-silent:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return registryAnswer{}, ctx.Err()
		case <-r.ctx.Done():
			return registryAnswer{}, r.ctx.Err()
		}
	}
}

// registryPort is one listener and its connections.
type registryPort struct {
	r      *Registry
	addr   string
	server *http.Server
	count  registryCounters

	mu       sync.Mutex
	listener net.Listener // nil while there is none
	open     map[*countedConn]struct{}
}

// ServeHTTP answers GET /registry/instances.
func (p *registryPort) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodGet || req.URL.Path != "/registry/instances" {
		http.NotFound(w, req)
		return
	}
	watch, revision, wait, err := readCall(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if watch {
		p.count.watchCalls.Add(1)
	} else {
		p.count.wholeCalls.Add(1)
	}
	a, err := p.r.call(req.Context(), watch, revision, wait)
	if err != nil {
		p.count.failures.Add(1)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	size := int64(len(a.body))
	switch {
	case a.whole:
		p.count.wholeLists.Add(1)
		p.count.wholeBytes.Add(size)
	case a.empty:
		p.count.emptyDeltas.Add(1)
		p.count.deltaBytes.Add(size)
	default:
		p.count.deltas.Add(1)
		p.count.deltaBytes.Add(size)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	w.Write(a.body) // where the client has left, there is nobody to tell
}

func readCall(req *http.Request) (watch bool, revision int64, wait time.Duration, err error) {
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

// serve takes in connections from the listener until it is closed.
func (p *registryPort) serve(ln net.Listener) {
	p.mu.Lock()
	p.listener = ln
	p.mu.Unlock()
	p.r.work.Go(func() {
		p.server.Serve(&countedListener{ln, p}) // its error is that of a closed listener
	})
}

// listenAgain takes up the port after discovery was gone. Something else may hold it for a moment.
func (p *registryPort) listenAgain() {
	for end := time.Now().Add(listenAgainFor); p.closed(); {
		ln, err := net.Listen("tcp4", p.addr)
		if err == nil {
			p.r.mu.Lock()
			defer p.r.mu.Unlock()
			if p.r.stopping || p.r.gone.over != nil { // whose end listens
				ln.Close()
				return
			}
			p.serve(ln)
			return
		}
		if time.Now().After(end) {
			slog.Error("discovery: cannot listen again", "address", p.addr, "error", err)
			return
		}
		select {
		case <-time.After(listenAgain):
		case <-p.r.ctx.Done():
			return
		}
	}
}

// closed tells that nothing listens.
func (p *registryPort) closed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener == nil
}

// reset closes the listener, and then its connections in such a way that the other side sees a reset.
func (p *registryPort) reset() {
	p.mu.Lock()
	ln := p.listener
	p.listener = nil
	all := make([]*countedConn, 0, len(p.open))
	for c := range p.open {
		all = append(all, c)
	}
	p.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
	for _, c := range all {
		c.reset()
	}
}

// countedListener counts connections and their bytes.
type countedListener struct {
	net.Listener
	port *registryPort
}

func (l *countedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		counted := &countedConn{Conn: c, port: l.port}
		l.port.count.connections.Add(1)
		l.port.count.open.Add(1)
		l.port.mu.Lock()
		l.port.open[counted] = struct{}{}
		late := l.port.listener != l.Listener // it was reset meanwhile
		l.port.mu.Unlock()
		if !late {
			return counted, nil
		}
		counted.reset()
	}
}

type countedConn struct {
	net.Conn
	port *registryPort
	once sync.Once
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.port.count.bytesIn.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	c.port.count.bytesOut.Add(int64(len(b))) // before the other side can have read them
	n, err := c.Conn.Write(b)
	c.port.count.bytesOut.Add(int64(n - len(b)))
	return n, err
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.port.count.open.Add(-1)
		c.port.mu.Lock()
		delete(c.port.open, c)
		c.port.mu.Unlock()
	})
	return c.Conn.Close()
}

func (c *countedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// FreeLoopbackPort finds a port that nothing listens at on the wildcard address. It lies below the ports that
// outgoing connections take, so that none of them gets it, nor is connected to itself while nothing listens.
func FreeLoopbackPort() (int, error) {
	ln, err := listenBelow("0.0.0.0")
	if err != nil {
		return 0, err
	}
	return ln.Addr().(*net.TCPAddr).Port, ln.Close()
}

func listenLoopback() (net.Listener, error) { return listenBelow("127.0.0.1") }

func listenBelow(host string) (net.Listener, error) {
	const least, tries = 10_000, 100
	first := 32_768 // Linux's own figure
	if raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		fmt.Sscan(string(raw), &first)
	}
	var err error
	for range tries {
		port := 0 // the kernel's choice, where outgoing connections may take any
		if first > least {
			port = least + rand.IntN(first-least)
		}
		var ln net.Listener
		if ln, err = net.Listen("tcp4", net.JoinHostPort(host, strconv.Itoa(port))); err == nil {
			return ln, nil
		}
	}
	return nil, fmt.Errorf("no free port: %w", err)
}
