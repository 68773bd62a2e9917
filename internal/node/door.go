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
	doorCalls   = 12                      // calls at once; a further one takes the oldest one's place
	doorSockets = doorCalls + 2           // descriptors that are the door's alone
	doorTimeout = 2500 * time.Millisecond // for a call and its answer: what is no call is owed a close within 3 s
	doorHeader  = 4 << 10                 // bytes of a call's head
)

// door is where operators talk to the node. It has a server, descriptors and time limits of its own and
// reads atomics only, so that it answers at once whatever becomes of the clients and the loop.
type door struct {
	http  http.Server
	calls doorListener
}

// openDoor serves operators on the listener until the door is closed.
func openDoor(l net.Listener, name string, life *lifecycle) *door {
	d := &door{calls: doorListener{Listener: l}}
	d.http = http.Server{
		Handler: doorHandler(name, life), MaxHeaderBytes: doorHeader, DisableGeneralOptionsHandler: true,
		ReadTimeout: doorTimeout, WriteTimeout: doorTimeout,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	d.http.SetKeepAlivesEnabled(false) // one call to a connection
	go func() {
		if err := d.http.Serve(&d.calls); err != http.ErrServerClosed {
			slog.Error("operator: the door is shut", "err", err)
		}
	}()
	return d
}

func (d *door) close() { d.http.Close() }

// doorHandler answers what operators may say, each word with the one method it goes with.
func doorHandler(name string, life *lifecycle) http.Handler {
	said := func(call func() error) http.HandlerFunc {
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
	words := map[string]struct {
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
		"/standby": {http.MethodPost, "POST", said(func() error { life.standBy(); return nil })},
		"/active":  {http.MethodPost, "POST", said(life.activate)},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Said outright, it also keeps net/http from reading a body to its end before it answers.
		w.Header().Set("Connection", "close")
		word, ok := words[r.URL.Path]
		switch {
		case !ok:
			http.Error(w, "no such call; there are GET /status, POST /standby and POST /active", http.StatusNotFound)
		case r.Method != word.method && !(r.Method == http.MethodHead && word.method == http.MethodGet):
			w.Header().Set("Allow", word.allow)
			http.Error(w, "this call takes "+word.allow, http.StatusMethodNotAllowed)
		default:
			word.answer(w, r)
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

// doorListener bounds the door's connections. A call takes no time, so whoever has been here longest is
// the one who finishes no call, and makes room.
type doorListener struct {
	net.Listener
	mu   sync.Mutex
	open linked.List // of *doorConn, the oldest in front
}

type doorConn struct {
	net.Conn
	owner *doorListener
	at    *linked.Element // nil once it is closed
}

func (l *doorListener) Accept() (net.Conn, error) {
	conn, err := acceptPatiently(l.Listener)
	if err != nil {
		return nil, err
	}
	c := &doorConn{Conn: conn, owner: l}
	l.mu.Lock()
	var oldest *doorConn
	if l.open.Len() >= doorCalls {
		oldest = l.open.Front().Value.(*doorConn)
	}
	c.at = l.open.PushBack(c)
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

func (c *doorConn) Close() error {
	c.owner.mu.Lock()
	if c.at != nil {
		c.owner.open.Remove(c.at)
		c.at = nil
	}
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
