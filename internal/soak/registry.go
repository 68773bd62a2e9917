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

// Phases of a server in the list (PROTOCOL, Discovery).
const (
	phaseUp       = "up"
	phaseDraining = "draining"
	phaseRemoved  = "removed"
)

// registryFault is the way in which the registry fails at present.
type registryFault int

const (
	faultNone   registryFault = iota
	faultDown                 // every connection is reset
	faultSilent               // calls are never answered
	faultSlow                 // answers are delayed by slowResponseDelay
)

const slowResponseDelay = 400 * time.Millisecond

// registry is a stand-in for discovery. Each node has its own listeners, so that the registry knows what it has written
// to which node.
type registry struct {
	checker *Checker

	mu              sync.Mutex
	changed         chan struct{} // closed and replaced at each change of the list
	revision        int64
	entries         []scale.Entry
	changeRevisions []int64 // by server: the revision of its last change
	removed         []bool
	fault           registryFault
	watchesReset    chan struct{} // closed and replaced when open watches are reset
	httpServers     []*http.Server
	bytesWritten    atomic.Int64 // bytes of lists, to all nodes
}

func newRegistry(checker *Checker, entries []scale.Entry) *registry {
	return &registry{checker: checker, changed: make(chan struct{}), watchesReset: make(chan struct{}), revision: 1,
		entries: slices.Clone(entries), changeRevisions: make([]int64, len(entries)), removed: make([]bool, len(entries))}
}

// addListener starts a listener for one node, and returns its address.
func (r *registry) addListener(node int) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serve(w, req, node) }),
		ReadHeaderTimeout: badPeerLimit}
	r.mu.Lock()
	r.httpServers = append(r.httpServers, s)
	r.mu.Unlock()
	go s.Serve(ln) // returns an error only when the listener is closed
	return ln.Addr().String(), nil
}

func (r *registry) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.httpServers {
		s.Close()
	}
}

// currentEntries returns the entries of the current list.
func (r *registry) currentEntries() []scale.Entry {
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

// setPhase changes a server's phase in the list.
func (r *registry) setPhase(server int, phase string, upSince int64) {
	r.setPhases(map[int]string{server: phase}, upSince)
}

// setPhases changes the phases of servers in one revision of the list. upSince is the start time of those that are up, in
// Unix milliseconds; 0 keeps their previous one.
func (r *registry) setPhases(phases map[int]string, upSince int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	for server, phase := range phases {
		e := &r.entries[server]
		e.Phase, r.changeRevisions[server], r.removed[server] = phase, r.revision, phase == phaseRemoved
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

// setFault makes the registry fail in the given way from now on; faultNone ends the outage.
func (r *registry) setFault(f registryFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if (f == faultNone) != (r.fault == faultNone) {
		r.checker.RegistryOutage(f != faultNone, time.Now())
	}
	r.fault = f
	if f == faultDown {
		r.resetWatchesLocked()
	}
}

// resetWatches resets all open watches once.
func (r *registry) resetWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetWatchesLocked()
}

// resetWatchesLocked resets all open watches; mu is held.
func (r *registry) resetWatchesLocked() {
	close(r.watchesReset)
	r.watchesReset = make(chan struct{})
}

func (r *registry) serve(w http.ResponseWriter, req *http.Request, node int) {
	r.mu.Lock()
	fault, reset := r.fault, r.watchesReset
	r.mu.Unlock()
	switch fault {
	case faultDown:
		panic(http.ErrAbortHandler)
	case faultSilent:
		<-req.Context().Done()
		return
	case faultSlow:
		time.Sleep(slowResponseDelay)
	}
	index, wait := int64(-1), time.Duration(0)
	if q := req.URL.Query(); q.Has("index") {
		index, _ = strconv.ParseInt(q.Get("index"), 10, 64)
		ms, _ := strconv.ParseInt(q.Get("wait"), 10, 64)
		wait = time.Duration(ms) * time.Millisecond
	}
	if !r.awaitChange(req.Context(), index, wait, reset) {
		panic(http.ErrAbortHandler)
	}
	r.writeList(w, index, node)
}

// awaitChange waits until the list is newer than the index or the wait is over. It returns false if the connection has to
// be reset.
func (r *registry) awaitChange(ctx context.Context, index int64, wait time.Duration, reset chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		newer, changed := r.revision > index, r.changed
		r.mu.Unlock()
		if newer {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-reset:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// writeList answers with the entries that are newer than the index, or with the whole list if the index is negative. It
// reports to the checker which leaving and started servers it has written to the node.
func (r *registry) writeList(w http.ResponseWriter, index int64, node int) {
	r.mu.Lock()
	if r.fault == faultDown || r.fault == faultSilent {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	list := struct {
		Revision int64         `json:"revision"`
		Complete bool          `json:"complete"`
		Members  []scale.Entry `json:"members"`
	}{r.revision, index < 0, []scale.Entry{}}
	var leaving, started []int
	for i, e := range r.entries {
		if index >= 0 && r.changeRevisions[i] <= index || index < 0 && r.removed[i] {
			continue
		}
		list.Members = append(list.Members, e)
		if e.UpSinceMS > 0 && e.Phase == phaseUp {
			started = append(started, i)
		}
	}
	for i, e := range r.entries {
		if e.Phase != phaseUp && (index < 0 || r.changeRevisions[i] > index) {
			leaving = append(leaving, i)
		}
	}
	r.mu.Unlock()
	body, err := json.Marshal(list)
	if err != nil {
		panic(fmt.Sprint("registry: ", err)) // cannot happen, as its types always encode
	}
	r.bytesWritten.Add(int64(len(body)))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil || http.NewResponseController(w).Flush() != nil {
		return
	}
	for _, server := range leaving {
		r.checker.LeaveDelivered(node, server, time.Now())
	}
	for _, server := range started {
		r.checker.StartDelivered(node, server, time.Now())
	}
}
