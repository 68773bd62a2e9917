package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/internal/field"
	"cobaltward/policy"
)

const (
	handoverVersion = 1
	rememberEvery   = 250 * time.Millisecond // what a successor should know is written
	rememberFor     = 3 * time.Second        // and holds
	followEvery     = 50 * time.Millisecond  // looks at the other process while there are two
	maxHandover     = 4 << 20                // bytes of it
	leastOfEach     = 8                      // connections on each side that a process has in any case
	lockSuffix      = ".lock"
	stateSuffix     = ".state"
	standbySuffix   = ".standby" // is there while its process is in standby
	handoverPrefix  = "wayhold-"
)

// handover is what the two processes of a node share in an upgrade, in a folder that both see. Each holds a
// lock for as long as it lives, so that neither a crash nor a number used again makes the dead look alive;
// the later one has the greater number. Beside it lies what a successor should know.
type handover struct {
	dir    string
	id     int64
	before int64 // the living process that came before; 0: none
	lock   *os.File
}

// legacy is what a process leaves to its successor.
type legacy struct {
	Saved    time.Time
	Standby  bool
	Revision int64
	Members  []discovery.Member
	Policy   policy.Memory
	// Connections that the process may have open yet, for the two are held to one node's descriptors.
	Clients, Servers int
}

// join enters the folder, and clears away what the dead left there.
func join(dir string) (*handover, error) {
	ids, err := living(dir)
	if err != nil {
		return nil, err
	}
	h := &handover{dir: dir}
	for _, id := range ids {
		h.before = max(h.before, id)
	}
	h.id = max(time.Now().UnixNano(), h.before+1)
	// Locked before it gets its name: under that, what isn't locked is dead.
	if h.lock, err = os.CreateTemp(dir, handoverPrefix+"*.new"); err != nil {
		return nil, err
	}
	if err = syscall.Flock(int(h.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
		err = os.Rename(h.lock.Name(), h.path(h.id, lockSuffix))
	}
	if err != nil {
		os.Remove(h.lock.Name())
		h.lock.Close()
		return nil, err
	}
	return h, nil
}

func (h *handover) path(id int64, suffix string) string {
	return filepath.Join(h.dir, handoverPrefix+strconv.FormatInt(id, 10)+suffix)
}

// living returns the processes whose locks are held, and removes what the others left.
func living(dir string) (ids []int64, err error) {
	names, err := filepath.Glob(filepath.Join(dir, handoverPrefix+"*"+lockSuffix))
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		base := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(name), handoverPrefix), lockSuffix)
		id, err := strconv.ParseInt(base, 10, 64)
		if err != nil || id <= 0 {
			continue
		}
		if held(name) {
			ids = append(ids, id)
			continue
		}
		os.Remove(name)
		os.Remove(strings.TrimSuffix(name, lockSuffix) + stateSuffix)
		os.Remove(strings.TrimSuffix(name, lockSuffix) + standbySuffix)
	}
	return ids, nil
}

// held tells whether a living process has the lock of that name.
func held(name string) bool {
	f, err := os.Open(name)
	if err != nil {
		return false
	}
	defer f.Close()
	return syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == syscall.EWOULDBLOCK
}

// succeeded tells whether a later process lives.
func (h *handover) succeeded() bool {
	ids, _ := living(h.dir) // a folder that can't be read has nobody in it
	for _, id := range ids {
		if id > h.id {
			return true
		}
	}
	return false
}

// leave takes away what this process put into the folder.
func (h *handover) leave() {
	os.Remove(h.path(h.id, stateSuffix))
	os.Remove(h.path(h.id, standbySuffix))
	os.Remove(h.path(h.id, lockSuffix))
	h.lock.Close()
}

// noteStandby tells a successor at once what operators said, before they hear that it is done: the rest of its
// word is written now and then, and a new process may be started in between.
func (h *handover) noteStandby(on bool) {
	name, err := h.path(h.id, standbySuffix), error(nil)
	if on {
		err = os.WriteFile(name, nil, 0o600)
	} else if err = os.Remove(name); errors.Is(err, os.ErrNotExist) {
		err = nil
	}
	if err != nil {
		slog.Warn("handover: a successor won't hear of standby", "on", on, "err", err)
	}
}

// write leaves word for a successor, whole or not at all.
func (h *handover) write(l legacy) error {
	raw, err := encodeLegacy(l)
	if err != nil {
		return err
	}
	name := h.path(h.id, stateSuffix)
	if err := os.WriteFile(name+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// read takes in what a process left, if it is whole and fresh.
func (h *handover) read(id int64, now time.Time) (legacy, error) {
	f, err := os.Open(h.path(id, stateSuffix))
	if err != nil {
		return legacy{}, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxHandover)) // the checksum tells if that isn't all
	if err != nil {
		return legacy{}, err
	}
	l, err := decodeLegacy(raw, now)
	if err == nil {
		_, none := os.Stat(h.path(id, standbySuffix))
		l.Standby = none == nil
	}
	return l, err
}

// encodeLegacy writes one line with the version and a checksum, and the rest as JSON.
func encodeLegacy(l legacy) ([]byte, error) {
	raw, err := json.Marshal(l)
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf("wayhold %d %08x\n", handoverVersion, checksum(raw))
	return append([]byte(head), raw...), nil
}

func checksum(raw []byte) uint32 { return crc32.ChecksumIEEE(raw) }

func decodeLegacy(raw []byte, now time.Time) (legacy, error) {
	head, raw, _ := bytes.Cut(raw, []byte("\n"))
	if want := fmt.Sprintf("wayhold %d %08x", handoverVersion, checksum(raw)); string(head) != want {
		return legacy{}, fmt.Errorf("begins with %.40q, want %q", head, want)
	}
	var l legacy
	if err := json.Unmarshal(raw, &l); err != nil {
		return legacy{}, err
	}
	if age := now.Sub(l.Saved); age > rememberFor || age < -rememberFor {
		return legacy{}, fmt.Errorf("written %v ago", age)
	}
	for i, m := range l.Members {
		if m.Server == "" || m.Availability > policy.Removed || m.UpSince < 0 || m.UpSince >= 1<<53 {
			return legacy{}, fmt.Errorf("members[%d] makes no sense", i)
		}
		if err := field.CheckAddress(m.Addr); err != nil {
			return legacy{}, fmt.Errorf("members[%d]: %w", i, err)
		}
	}
	if l.Clients < 0 || l.Servers < 0 {
		return legacy{}, errors.New("connections below 0")
	}
	return l, nil
}

// shared is what the two processes of a node divide while there are two: each works within its own part, so
// that together they stay within the node's limits.
type shared struct {
	*handover
	loop    *loop
	life    *lifecycle
	clients *clients
	up      *upstream

	clientSockets, serverSockets int // of a process that is alone
	ownSockets                   int // what each needs for itself

	before int64 // the process that came before; 0 once it is gone
	heard  int64 // the revision of its list that was last taken over
	halved bool
	wrote  time.Time
}

// run keeps to the limits, and leaves word for a successor, until ctx ends.
func (s *shared) run(ctx context.Context) {
	tick := time.NewTicker(followEvery)
	defer tick.Stop()
	for {
		s.step(time.Now())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *shared) step(now time.Time) {
	if s.before != 0 && !held(s.path(s.before, lockSuffix)) {
		s.before = 0
	}
	next := s.succeeded()
	s.halve(s.before != 0 || next)
	switch {
	case s.before != 0:
		old, err := s.read(s.before, now)
		if err != nil { // its word counts once it has one
			old.Clients, old.Servers = s.clientSockets/2, s.serverSockets/2
		} else if old.Revision != s.heard { // what it was told, this node was told
			s.heard = old.Revision
			s.loop.send(bequeathed{discovery.List{Revision: old.Revision, Complete: true, Members: old.Members}})
		}
		s.clients.bound(max(leastOfEach, s.clientSockets-old.Clients-s.ownSockets/2))
		s.up.bound(max(leastOfEach, s.serverSockets-old.Servers-s.ownSockets/2))
	case next:
		s.giveWay()
	default:
		s.clients.bound(s.clientSockets)
		s.up.bound(s.serverSockets)
	}
	if next || now.Sub(s.wrote) >= rememberEvery {
		s.wrote = now
		if err := s.write(s.legacy(now)); err != nil {
			slog.Warn("handover: nothing is left to a successor", "err", err)
		}
	}
}

// giveWay keeps an old process to what it has open: to half until it is told to end, and from then on
// to what its clients still need.
func (s *shared) giveWay() {
	clients, servers := s.clientSockets/2, s.serverSockets/2
	if s.life.phase() == closing {
		clients, servers = 0, 0
	}
	open := s.clients.left()
	s.clients.bound(max(clients, open))
	s.up.bound(max(servers, open+leastOfEach))
}

// halve divides the heap while there are two processes.
func (s *shared) halve(two bool) {
	if two == s.halved {
		return
	}
	s.halved = two
	limit, n := debug.SetMemoryLimit(-1), 1
	if two {
		limit /= 2
		n = 2
	} else {
		limit *= 2
	}
	s.loop.send(processes(n))
	debug.SetMemoryLimit(limit)
	slog.Info("handover", "two_processes", two, "heap_limit", limit)
}

func (s *shared) legacy(now time.Time) legacy {
	l := s.loop.legacy()
	l.Saved, l.Standby = now, s.life.phase() == standby
	l.Clients, l.Servers = s.clients.bounded(), s.up.bounded()
	return l
}

// noteAgain does nothing yet.
func (h *handover) noteAgain() {}
