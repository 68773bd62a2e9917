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
	adminCalls   = 12                      // calls at once; a further one takes the oldest one's place
	adminSockets = adminCalls + 2          // descriptors that are the admin listener alone
	adminTimeout = 2500 * time.Millisecond // for a call and its answer: what is no call is owed a close within 3 s
	adminHeader  = 4 << 10                 // bytes of a call's head
)

// adminServer is where operators talk to the node. It has a server, descriptors and time limits of its own and
// reads atomics only, so that it answers at once whatever becomes of the clients and the loop.
type adminServer struct {
	http  http.Server
	calls adminListener
}

// startAdmin serves operators on the listener until the server is closed.
func startAdmin(l net.Listener, name string, life *lifecycle, metrics http.Handler) *adminServer {
	d := &adminServer{calls: adminListener{Listener: l}}
	d.http = http.Server{
		Handler: adminHandler(name, life, metrics), MaxHeaderBytes: adminHeader, DisableGeneralOptionsHandler: true,
		ReadTimeout: adminTimeout, WriteTimeout: adminTimeout,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	d.http.SetKeepAlivesEnabled(false) // one call to a connection
	go func() {
		if err := d.http.Serve(&d.calls); err != http.ErrServerClosed {
			slog.Error("operator: the admin listener has ended", "err", err)
		}
	}()
	return d
}

func (d *adminServer) close() { d.http.Close() }

// adminHandler answers the endpoints, each with the one method that it takes.
func adminHandler(name string, life *lifecycle, metrics http.Handler) http.Handler {
	command := func(call func() error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			err := call()
			slog.Info("operator", "call", r.URL.Path, "phase", life.phase(), "err", err)
			if err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
				return
			}
			tellStatus(w, http.StatusOK, name, life)
		}
	}
	endpoints := map[string]struct {
		method, allow string
		answer        http.HandlerFunc
	}{
		"/status": {http.MethodGet, "GET, HEAD", func(w http.ResponseWriter, _ *http.Request) {
			status := http.StatusOK
			if !life.ready() {
				status = http.StatusServiceUnavailable
			}
			tellStatus(w, status, name, life)
		}},
		"/metrics": {http.MethodGet, "GET, HEAD", metrics.ServeHTTP},
		"/standby": {http.MethodPost, "POST", command(func() error { life.standBy(); return nil })},
		"/active":  {http.MethodPost, "POST", command(life.activate)},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Said outright, it also keeps net/http from reading a body to its end before it answers.
		w.Header().Set("Connection", "close")
		endpoint, ok := endpoints[r.URL.Path]
		switch {
		case !ok:
			http.Error(w, "no such call; there are GET /status, GET /metrics, POST /standby and POST /active", http.StatusNotFound)
		case r.Method != endpoint.method && !(r.Method == http.MethodHead && endpoint.method == http.MethodGet):
			w.Header().Set("Allow", endpoint.allow)
			http.Error(w, "this call takes "+endpoint.allow, http.StatusMethodNotAllowed)
		default:
			endpoint.answer(w, r)
		}
	})
}

func tellStatus(w http.ResponseWriter, status int, name string, life *lifecycle) {
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
	_, _ = w.Write(append(text, '\n')) // the caller may have left
}

// adminListener bounds the connections. A call takes no time, so whoever has been here longest is
// the one who finishes no call, and makes room.
type adminListener struct {
	net.Listener
	mu   sync.Mutex
	open linked.List // of *adminConn, the oldest in front
}

type adminConn struct {
	net.Conn
	owner *adminListener
	at    *linked.Element // nil once it is closed
}

func (l *adminListener) Accept() (net.Conn, error) {
	conn, err := acceptPatiently(l.Listener)
	if err != nil {
		return nil, err
	}
	c := &adminConn{Conn: conn, owner: l}
	l.mu.Lock()
	var oldest *adminConn
	if l.open.Len() >= adminCalls {
		oldest = l.open.Front().Value.(*adminConn)
	}
	c.at = l.open.PushBack(c)
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

func (c *adminConn) Close() error {
	c.owner.mu.Lock()
	if c.at != nil {
		c.owner.open.Remove(c.at)
		c.at = nil
	}
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
