package scale

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	maxRequestBody   = 64 << 10 // bytes (PROTOCOL)
	maxWorkTimes     = 20       // times the mean
	loopbackDevice   = "lo"
	maxRequestHeader = 32 << 10 // bytes
)

// TranscribersConfig is what stands in for transcribers. All Members share one port, at loopback addresses.
type TranscribersConfig struct {
	Members []Entry
	Work    time.Duration // mean time that a request takes, exponentially distributed
	Seed    uint64        // of these times
}

// TranscriberStats are totals since the start, but for Open.
type TranscriberStats struct {
	Requests int64 `json:"requests"`
	Open     int64 `json:"open"`     // connections, now
	Accepted int64 `json:"accepted"` // connections
	Reached  int64 `json:"reached"`  // transcribers that were ever connected to
}

// Transcribers stand in for many, each at its own loopback address, behind one listening socket.
type Transcribers struct {
	server *http.Server
	done   chan struct{}
	work   time.Duration

	requests, open, accepted atomic.Int64

	mu      sync.Mutex
	rng     *rand.Rand
	reached map[netip.Addr]bool // by the members' addresses: whether it was connected to
	count   int64               // of these
}

// StartTranscribers listens at the port of the members and answers until Close (PROTOCOL, Nodes to
// transcribers). The socket is bound to the loopback device, as the members' addresses are too many for a
// socket each; nothing reaches it from outside.
func StartTranscribers(c TranscribersConfig) (*Transcribers, error) {
	t, port, err := newTranscribers(c)
	if err != nil {
		return nil, err
	}
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var bound error
		if err := raw.Control(func(fd uintptr) { bound = syscall.BindToDevice(int(fd), loopbackDevice) }); err != nil {
			return err
		}
		if bound != nil {
			return fmt.Errorf("bind to the device %s: %w", loopbackDevice, bound)
		}
		return nil
	}}
	ln, err := lc.Listen(context.Background(), "tcp4", fmt.Sprintf(":%d", port))
	if err != nil {
		return nil, fmt.Errorf("transcribers: %w", err)
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: headTimeout, IdleTimeout: transcriberIdle,
		MaxHeaderBytes: maxRequestHeader}
	t.done = make(chan struct{})
	go func() {
		defer close(t.done)
		t.server.Serve(&memberListener{ln, t}) // its error is that of a closed listener
	}()
	return t, nil
}

// newTranscribers checks the members and returns their port.
func newTranscribers(c TranscribersConfig) (*Transcribers, uint16, error) {
	t := &Transcribers{work: c.Work, rng: rand.New(rand.NewPCG(c.Seed, 2)),
		reached: make(map[netip.Addr]bool, len(c.Members))}
	if len(c.Members) == 0 {
		return nil, 0, fmt.Errorf("transcribers: members: want 1 or more, got 0")
	}
	var port uint16
	for i, e := range c.Members {
		at, err := netip.ParseAddrPort(e.HostPort)
		if err != nil || !at.Addr().Is4() || !at.Addr().IsLoopback() {
			return nil, 0, fmt.Errorf("transcribers: members[%d].host_port: want a loopback address and a port, got %q", i, e.HostPort)
		}
		if i == 0 {
			port = at.Port()
		}
		if at.Port() != port {
			return nil, 0, fmt.Errorf("transcribers: members[%d].host_port: want port %d as the others, got %q", i, port, e.HostPort)
		}
		t.reached[at.Addr()] = false
	}
	return t, port, nil
}

// Stats are the totals.
func (t *Transcribers) Stats() TranscriberStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TranscriberStats{Requests: t.requests.Load(), Open: t.open.Load(), Accepted: t.accepted.Load(),
		Reached: t.count}
}

// Close ends the listener and all connections.
func (t *Transcribers) Close() {
	t.server.Close()
	<-t.done
}

// ServeHTTP answers any request that has an id with the microseconds from its last byte to the answer's
// first, as held_us. There are no probes.
func (t *Transcribers) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, req.Body, maxRequestBody)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	came := time.Now()
	probe := req.Method == http.MethodGet && (req.URL.Path == "/health/live" || req.URL.Path == "/stats")
	if probe || req.Header.Get("X-Request-Id") == "" {
		http.NotFound(w, req)
		return
	}
	t.requests.Add(1)
	if work := t.nextWork(); work > 0 {
		timer := time.NewTimer(work)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-req.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"held_us":%d}`, time.Since(came).Microseconds())
}

func (t *Transcribers) nextWork() time.Duration {
	if t.work <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(min(t.rng.ExpFloat64(), maxWorkTimes) * float64(t.work))
}

// admit tells whether a transcriber is at the address, and counts it as reached.
func (t *Transcribers) admit(local net.Addr) bool {
	tcp, ok := local.(*net.TCPAddr)
	if !ok {
		return false
	}
	addr := tcp.AddrPort().Addr().Unmap()
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.reached[addr]
	if known && !before {
		t.reached[addr] = true
		t.count++
	}
	return known
}

// memberListener closes connections to addresses that no transcriber has.
type memberListener struct {
	net.Listener
	t *Transcribers
}

func (l *memberListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.t.admit(c.LocalAddr()) {
			c.Close()
			continue
		}
		l.t.accepted.Add(1)
		l.t.open.Add(1)
		return &memberConn{Conn: c, t: l.t}, nil
	}
}

type memberConn struct {
	net.Conn
	t    *Transcribers
	once sync.Once
}

func (c *memberConn) Close() error {
	c.once.Do(func() { c.t.open.Add(-1) })
	return c.Conn.Close()
}
