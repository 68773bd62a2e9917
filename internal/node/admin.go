package node

import (
	linked "container/list"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxAdminConns  = 12                      // concurrent connections; a further one replaces the oldest
	adminSockets   = maxAdminConns + 2       // file descriptors reserved for the admin listener
	adminTimeout   = 2500 * time.Millisecond // for request and response; invalid connections must be closed within 3 s
	maxAdminHeader = 4 << 10                 // bytes of a request head
)

// adminServer serves the operators' endpoints. It has its own HTTP server, file descriptors and timeouts and never waits
// for the loop or for clients, so it responds at once whatever their state.
type adminServer struct {
	http     http.Server
	listener adminListener
}

// startAdmin serves operators on l until the server is closed.
func startAdmin(l net.Listener, name string, life *lifecycle, metrics http.Handler) *adminServer {
	s := &adminServer{listener: adminListener{Listener: l}}
	s.http = http.Server{
		Handler: adminHandler(name, life, metrics), MaxHeaderBytes: maxAdminHeader, DisableGeneralOptionsHandler: true,
		ReadTimeout: adminTimeout, WriteTimeout: adminTimeout,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	s.http.SetKeepAlivesEnabled(false) // one request per connection
	go func() {
		if err := s.http.Serve(&s.listener); err != http.ErrServerClosed {
			slog.Error("operator: the admin listener has ended", "err", err)
		}
	}()
	return s
}

func (s *adminServer) close() { s.http.Close() }

// adminHandler serves the admin endpoints, each of which accepts a single method.
func adminHandler(name string, life *lifecycle, metrics http.Handler) http.Handler {
	command := func(call func() error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			err := call()
			slog.Info("operator", "call", r.URL.Path, "phase", life.phase(), "err", err)
			if err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
				return
			}
			writeStatus(w, http.StatusOK, name, life)
		}
	}
	endpoints := map[string]struct {
		method, allow string
		handle        http.HandlerFunc
	}{
		"/status": {http.MethodGet, "GET, HEAD", func(w http.ResponseWriter, _ *http.Request) {
			status := http.StatusOK
			if !life.ready() {
				status = http.StatusServiceUnavailable
			}
			writeStatus(w, status, name, life)
		}},
		"/metrics": {http.MethodGet, "GET, HEAD", metrics.ServeHTTP},
		"/standby": {http.MethodPost, "POST", command(func() error { life.enterStandby(); return nil })},
		"/active":  {http.MethodPost, "POST", command(life.activate)},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Also keeps net/http from reading a request body to its end before it responds.
		w.Header().Set("Connection", "close")
		endpoint, ok := endpoints[r.URL.Path]
		switch {
		case !ok:
			http.Error(w, "no such call; there are GET /status, GET /metrics, POST /standby and POST /active", http.StatusNotFound)
		case r.Method != endpoint.method && !(r.Method == http.MethodHead && endpoint.method == http.MethodGet):
			w.Header().Set("Allow", endpoint.allow)
			http.Error(w, "this call takes "+endpoint.allow, http.StatusMethodNotAllowed)
		default:
			endpoint.handle(w, r)
		}
	})
}

func writeStatus(w http.ResponseWriter, status int, name string, life *lifecycle) {
	p := life.phase()
	text, err := json.Marshal(struct {
		Name  string `json:"name"`
		Phase string `json:"phase"`
		Ready bool   `json:"ready"`
	}{name, p.String(), p == active})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n')) // fails only if the caller has disconnected
}

// adminListener limits the number of open connections. At the limit it closes the oldest one: since requests are answered
// at once, the oldest connection is one that hasn't sent a complete request.
type adminListener struct {
	net.Listener
	mu   sync.Mutex
	open linked.List // of *adminConn, oldest first
}

type adminConn struct {
	net.Conn
	owner   *adminListener
	element *linked.Element // nil after Close
}

func (l *adminListener) Accept() (net.Conn, error) {
	conn, err := acceptWithRetry(l.Listener)
	if err != nil {
		return nil, err
	}
	c := &adminConn{Conn: conn, owner: l}
	l.mu.Lock()
	var oldest *adminConn
	if l.open.Len() >= maxAdminConns {
		oldest = l.open.Front().Value.(*adminConn)
	}
	c.element = l.open.PushBack(c)
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

func (c *adminConn) Close() error {
	c.owner.mu.Lock()
	if c.element != nil {
		c.owner.open.Remove(c.element)
		c.element = nil
	}
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
