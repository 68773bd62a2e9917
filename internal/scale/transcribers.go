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
	maxRequestBody            = 64 << 10 // bytes (PROTOCOL)
	maxProcessingFactor       = 20       // upper bound of a processing time, as a multiple of the mean
	loopbackDevice            = "lo"
	transcriberMaxHeaderBytes = 32 << 10 // bytes
)

// TranscribersConfig configures Transcribers. All Members have loopback addresses and share one port.
type TranscribersConfig struct {
	Members            []Entry
	MeanProcessingTime time.Duration // of a request, exponentially distributed; 0: respond at once
	Seed               uint64        // of the processing times
}

// TranscriberStats are totals since the start, except Open.
type TranscriberStats struct {
	Requests int64 `json:"requests"`
	Open     int64 `json:"open"`     // connections open now
	Accepted int64 `json:"accepted"` // connections
	Reached  int64 `json:"reached"`  // transcribers that have had a connection
}

// Transcribers simulates many transcribers, each at its own loopback address, behind one listening socket.
type Transcribers struct {
	server             *http.Server
	done               chan struct{}
	meanProcessingTime time.Duration

	requests, open, accepted atomic.Int64

	mu           sync.Mutex
	rng          *rand.Rand
	reached      map[netip.Addr]bool // keyed by member address; true once it has had a connection
	reachedCount int64               // true values in reached
}

// StartTranscribers listens on the members' port and serves until Close (PROTOCOL, Nodes to transcribers). There are
// too many addresses for a socket each, so one wildcard socket is bound to the loopback device, which also makes it
// unreachable from outside.
func StartTranscribers(c TranscribersConfig) (*Transcribers, error) {
	t, port, err := newTranscribers(c)
	if err != nil {
		return nil, err
	}
	lc := net.ListenConfig{Control: func(_, _ string, rawConn syscall.RawConn) error {
		var bindErr error
		if err := rawConn.Control(func(fd uintptr) { bindErr = syscall.BindToDevice(int(fd), loopbackDevice) }); err != nil {
			return err
		}
		if bindErr != nil {
			return fmt.Errorf("bind to the device %s: %w", loopbackDevice, bindErr)
		}
		return nil
	}}
	ln, err := lc.Listen(context.Background(), "tcp4", fmt.Sprintf(":%d", port))
	if err != nil {
		return nil, fmt.Errorf("transcribers: %w", err)
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: transcriberIdleTimeout,
		MaxHeaderBytes: transcriberMaxHeaderBytes}
	t.done = make(chan struct{})
	go func() {
		defer close(t.done)
		t.server.Serve(&memberListener{ln, t}) // the error only says that the listener was closed
	}()
	return t, nil
}

// newTranscribers validates the members and returns their common port. It opens no socket.
func newTranscribers(c TranscribersConfig) (*Transcribers, uint16, error) {
	t := &Transcribers{meanProcessingTime: c.MeanProcessingTime, rng: rand.New(rand.NewPCG(c.Seed, 2)),
		reached: make(map[netip.Addr]bool, len(c.Members))}
	if len(c.Members) == 0 {
		return nil, 0, fmt.Errorf("transcribers: members: want 1 or more, got 0")
	}
	var port uint16
	for i, e := range c.Members {
		addrPort, err := netip.ParseAddrPort(e.HostPort)
		if err != nil || !addrPort.Addr().Is4() || !addrPort.Addr().IsLoopback() {
			return nil, 0, fmt.Errorf("transcribers: members[%d].host_port: want a loopback address and a port, got %q", i, e.HostPort)
		}
		if i == 0 {
			port = addrPort.Port()
		}
		if addrPort.Port() != port {
			return nil, 0, fmt.Errorf("transcribers: members[%d].host_port: want port %d like the others, got %q", i, port, e.HostPort)
		}
		t.reached[addrPort.Addr()] = false
	}
	return t, port, nil
}

// Stats returns the totals.
func (t *Transcribers) Stats() TranscriberStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TranscriberStats{Requests: t.requests.Load(), Open: t.open.Load(), Accepted: t.accepted.Load(),
		Reached: t.reachedCount}
}

// Close closes the listener and all connections.
func (t *Transcribers) Close() {
	t.server.Close()
	<-t.done
}

// ServeHTTP responds to any request with an X-Request-Id. The body's held_us is the time in microseconds from the
// request's last byte to the response's first. Probe paths get 404.
func (t *Transcribers) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, req.Body, maxRequestBody)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	received := time.Now()
	probe := req.Method == http.MethodGet && (req.URL.Path == "/health/live" || req.URL.Path == "/stats")
	if probe || req.Header.Get("X-Request-Id") == "" {
		http.NotFound(w, req)
		return
	}
	t.requests.Add(1)
	if processing := t.drawProcessingTime(); processing > 0 {
		timer := time.NewTimer(processing)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-req.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"held_us":%d}`, time.Since(received).Microseconds())
}

// drawProcessingTime draws the processing time of one request.
func (t *Transcribers) drawProcessingTime() time.Duration {
	if t.meanProcessingTime <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(min(t.rng.ExpFloat64(), maxProcessingFactor) * float64(t.meanProcessingTime))
}

// markReached reports whether the address belongs to a transcriber, and if so counts it as reached.
func (t *Transcribers) markReached(local net.Addr) bool {
	tcp, ok := local.(*net.TCPAddr)
	if !ok {
		return false
	}
	addr := tcp.AddrPort().Addr().Unmap()
	t.mu.Lock()
	defer t.mu.Unlock()
	counted, known := t.reached[addr]
	if known && !counted {
		t.reached[addr] = true
		t.reachedCount++
	}
	return known
}

// memberListener closes connections to addresses that belong to no transcriber, and counts the others.
type memberListener struct {
	net.Listener
	transcribers *Transcribers
}

func (l *memberListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.transcribers.markReached(c.LocalAddr()) {
			c.Close()
			continue
		}
		l.transcribers.accepted.Add(1)
		l.transcribers.open.Add(1)
		return &memberConn{Conn: c, transcribers: l.transcribers}, nil
	}
}

// memberConn decrements the count of open connections when it is closed.
type memberConn struct {
	net.Conn
	transcribers *Transcribers
	once         sync.Once
}

func (c *memberConn) Close() error {
	c.once.Do(func() { c.transcribers.open.Add(-1) })
	return c.Conn.Close()
}
