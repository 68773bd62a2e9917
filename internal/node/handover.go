package node

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	handoverVersion = 1
	snapshotEvery   = 250 * time.Millisecond // what a successor should know is written
	snapshotFor     = 3 * time.Second        // and holds
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
func (h *handover) write(l snapshot) error {
	raw, err := encodeSnapshot(l)
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
func (h *handover) read(id int64, now time.Time) (snapshot, error) {
	f, err := os.Open(h.path(id, stateSuffix))
	if err != nil {
		return snapshot{}, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxHandover)) // the checksum tells if that isn't all
	if err != nil {
		return snapshot{}, err
	}
	l, err := decodeSnapshot(raw, now)
	if err == nil {
		_, none := os.Stat(h.path(id, standbySuffix))
		l.Standby = none == nil
	}
	return l, err
}

// noteAgain does nothing yet.
func (h *handover) noteAgain() {}
