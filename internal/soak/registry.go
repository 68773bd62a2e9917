package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/internal/scale"
)

// Phases of a listed server (PROTOCOL, Discovery).
const (
	phaseUp       = "up"
	phaseDraining = "draining"
	phaseRemoved  = "removed"
)

// fault is how the registry fails for now.
type fault int

const (
	faultNone fault = iota
	faultDown       // every call is reset
	faultMute       // calls are never answered
	faultSlow       // answers wait
)

const slowBy = 400 * time.Millisecond

// registry stands in for discovery. Each node has ports of its own, so that what was written to it is known.
type registry struct {
	checker *Checker

	mu       sync.Mutex
	changed  chan struct{} // closed at the next change
	revision int64
	entries  []scale.Entry
	changes  []int64 // each entry's revision
	removed  []bool
	fault    fault
	cut      chan struct{} // closed when open watches are reset
	servers  []*http.Server
	written  atomic.Int64 // bytes of lists, to all nodes
}

func newRegistry(judge *Checker, entries []scale.Entry) *registry {
	return &registry{checker: judge, changed: make(chan struct{}), cut: make(chan struct{}), revision: 1,
		entries: slices.Clone(entries), changes: make([]int64, len(entries)), removed: make([]bool, len(entries))}
}

// port listens for one node, and returns the address.
func (r *registry) port(node int) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serve(w, req, node) }),
		ReadHeaderTimeout: badPeerLimit}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	go s.Serve(ln) // its error is that of a closed listener
	return ln.Addr().String(), nil
}

func (r *registry) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		s.Close()
	}
}

// known is the list as it stands.
func (r *registry) known() []scale.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []scale.Entry
	for i, e := range r.entries {
		if !r.removed[i] {
			list = append(list, e)
		}
	}
	return list
}

// change lists a server anew, with the given phase.
func (r *registry) change(server int, phase string, upSince int64) {
	r.changeAll(map[int]string{server: phase}, upSince)
}

// changeAll lists servers anew in one step, with the given phases. Those that are up have started then; 0: as before.
func (r *registry) changeAll(phases map[int]string, upSince int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	for server, phase := range phases {
		e := &r.entries[server]
		e.Phase, r.changes[server], r.removed[server] = phase, r.revision, phase == phaseRemoved
		if phase != phaseUp {
			r.checker.ServerLeaving(server, time.Now())
			continue
		}
		if upSince > 0 {
			e.UpSinceMS = upSince
		}
		r.checker.ServerReturned(server)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// fail has the registry fail in one way from now on; faultNone ends it.
func (r *registry) fail(f fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if (f == faultNone) != (r.fault == faultNone) {
		r.checker.RegistryOutage(f != faultNone, time.Now())
	}
	r.fault = f
	if f == faultDown {
		r.reset()
	}
}

// cutWatches resets all open watches once.
func (r *registry) cutWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
}

func (r *registry) reset() {
	close(r.cut)
	r.cut = make(chan struct{})
}

func (r *registry) serve(w http.ResponseWriter, req *http.Request, node int) {
	r.mu.Lock()
	fault, cut := r.fault, r.cut
	r.mu.Unlock()
	switch fault {
	case faultDown:
		panic(http.ErrAbortHandler)
	case faultMute:
		<-req.Context().Done()
		return
	case faultSlow:
		time.Sleep(slowBy)
	}
	index, wait := int64(-1), time.Duration(0)
	if q := req.URL.Query(); q.Has("index") {
		index, _ = strconv.ParseInt(q.Get("index"), 10, 64)
		ms, _ := strconv.ParseInt(q.Get("wait"), 10, 64)
		wait = time.Duration(ms) * time.Millisecond
	}
	if !r.await(req.Context(), index, wait, cut) {
		panic(http.ErrAbortHandler)
	}
	r.write(w, index, node)
}

// await waits until there is something newer than the index; false: the call is to be reset.
func (r *registry) await(ctx context.Context, index int64, wait time.Duration, cut chan struct{}) bool {
	late := time.NewTimer(wait)
	defer late.Stop()
	for {
		r.mu.Lock()
		newer, changed := r.revision > index, r.changed
		r.mu.Unlock()
		if newer {
			return true
		}
		select {
		case <-changed:
		case <-late.C:
			return true
		case <-cut:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// write answers with what is newer than the index, or with the whole list below 0.
func (r *registry) write(w http.ResponseWriter, index int64, node int) {
	r.mu.Lock()
	if r.fault == faultDown || r.fault == faultMute {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	list := struct {
		Revision int64         `json:"revision"`
		Complete bool          `json:"complete"`
		Members  []scale.Entry `json:"members"`
	}{r.revision, index < 0, []scale.Entry{}}
	var left, started []int
	for i, e := range r.entries {
		if index >= 0 && r.changes[i] <= index || index < 0 && r.removed[i] {
			continue
		}
		list.Members = append(list.Members, e)
		if e.UpSinceMS > 0 && e.Phase == phaseUp {
			started = append(started, i)
		}
	}
	for i, e := range r.entries {
		if e.Phase != phaseUp && (index < 0 || r.changes[i] > index) {
			left = append(left, i)
		}
	}
	r.mu.Unlock()
	body, err := json.Marshal(list)
	if err != nil {
		panic(fmt.Sprint("registry: ", err)) // its types can always be written
	}
	r.written.Add(int64(len(body)))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil || http.NewResponseController(w).Flush() != nil {
		return
	}
	for _, server := range left {
		r.checker.LeaveDelivered(node, server, time.Now())
	}
	for _, server := range started {
		r.checker.StartDelivered(node, server, time.Now())
	}
}
