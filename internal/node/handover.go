package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltward/internal/faultpoint"
	"cobaltward/internal/syserr"
)

const (
	handoverVersion = 1
	snapshotEvery   = 250 * time.Millisecond // what a successor should know is written
	snapshotApart   = 50                     // times what writing one takes
	snapshotFor     = 3 * time.Second        // and holds
	followEvery     = 50 * time.Millisecond  // looks at the other process while there are two
	maxHandover     = 4 << 20                // bytes of it
	leastOfEach     = 8                      // connections on each side that a process has in any case
	lockSuffix      = ".lock"
	stateSuffix     = ".state"
	standbySuffix   = ".standby" // is there while its process is in standby
	newSuffix       = ".new"     // of a file that is not whole yet
	handoverPrefix  = "wayhold-"

	// A folder, or a process without descriptors, may fail for a while.
	joinWithin      = 2 * time.Second // of the 6 s in which a new process has to be ready
	folderPause     = 5 * time.Millisecond
	folderPauseMost = 100 * time.Millisecond
)

// handover is what the two processes of a node share in an upgrade, in a folder that both see. Each holds a
// lock for as long as it lives, so that neither a crash nor a number used again makes the dead look alive;
// the later one has the greater number. Beside it lies what a successor should know.
type handover struct {
	dir    string
	id     int64
	before int64 // the living process that came before; 0: none
	lock   *os.File
	later  atomic.Bool // a later process lived when it could last be told

	mu      sync.Mutex
	standby bool // as operators said last
	noted   bool // and a successor can read it
	warned  bool // that it can't
}

// join enters the folder, and clears away what the dead left there.
func join(dir string) (*handover, error) {
	ids, err := living(dir)
	if err != nil {
		return nil, err
	}
	h := &handover{dir: dir, noted: true}
	for _, id := range ids {
		h.before = max(h.before, id)
	}
	h.id = max(time.Now().UnixNano(), h.before+1)
	// Locked before it gets its name: under that, what isn't locked is dead.
	if h.lock, err = os.CreateTemp(dir, handoverPrefix+"*"+newSuffix); err != nil {
		return nil, err
	}
	if err = flock(h.lock, syscall.LOCK_EX); err == nil {
		err = os.Rename(h.lock.Name(), h.path(h.id, lockSuffix))
	}
	if err != nil {
		os.Remove(h.lock.Name())
		h.lock.Close()
		return nil, err
	}
	return h, nil
}

// joinPatiently is join, again for a while where the folder, or the process, lacks something for a moment.
func joinPatiently(dir string) (h *handover, err error) {
	pauses := syserr.Backoff{First: folderPause, Most: folderPauseMost}
	err = syserr.Retry(context.Background(), joinWithin, pauses, func() (err error) {
		h, err = join(dir)
		return err
	})
	return h, err
}

// flock takes a lock at once or not at all.
func flock(f *os.File, how int) error {
	for {
		if err := syscall.Flock(int(f.Fd()), how|syscall.LOCK_NB); err != syscall.EINTR {
			return err
		}
	}
}

func (h *handover) path(id int64, suffix string) string {
	return filepath.Join(h.dir, handoverPrefix+strconv.FormatInt(id, 10)+suffix)
}

// living returns the processes whose locks are held, and removes what the others left. Where it can't look at all of
// them, it says so: nobody is dead for that.
func living(dir string) (ids []int64, err error) {
	if err := faultpoint.Fail(faultpoint.Folder); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		base, locked := strings.CutSuffix(entry.Name(), lockSuffix)
		number, ours := strings.CutPrefix(base, handoverPrefix)
		id, err := strconv.ParseInt(number, 10, 64)
		if !locked || !ours || err != nil || id <= 0 {
			continue
		}
		name := filepath.Join(dir, base)
		alive, err := lockHeld(name + lockSuffix)
		switch {
		case err != nil:
			return nil, err
		case alive:
			ids = append(ids, id)
		default:
			for _, suffix := range []string{lockSuffix, stateSuffix, stateSuffix + newSuffix, standbySuffix} {
				os.Remove(name + suffix)
			}
		}
	}
	return ids, nil
}

// lockHeld tells whether a living process has the lock of that name; an error says that this can't be told now.
func lockHeld(name string) (bool, error) {
	f, err := os.Open(name)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer f.Close()
	err = flock(f, syscall.LOCK_SH)
	if err == syscall.EWOULDBLOCK {
		return true, nil
	}
	return false, err
}

// succeeded tells whether a later process lives; where that can't be told now, it is as it was.
func (h *handover) succeeded() bool {
	ids, err := living(h.dir)
	if err != nil {
		return h.later.Load()
	}
	later := false
	for _, id := range ids {
		later = later || id > h.id
	}
	h.later.Store(later)
	return later
}

// beforeLives tells whether the process that came before is there still.
func (h *handover) beforeLives() bool {
	if h.before == 0 {
		return false
	}
	if alive, err := lockHeld(h.path(h.before, lockSuffix)); err == nil && !alive {
		h.before = 0
	}
	return h.before != 0
}

// leave takes away what this process put into the folder.
func (h *handover) leave() {
	os.Remove(h.path(h.id, stateSuffix))
	os.Remove(h.path(h.id, standbySuffix))
	os.Remove(h.path(h.id, lockSuffix))
	h.lock.Close()
}

// noteStandby tells a successor at once what operators said, before they hear that it is done: the rest of its
// snapshot is written now and then, and a new process may be started in between.
func (h *handover) noteStandby(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.standby, h.noted = on, false
	h.note()
}

// noteAgain notes what could not be noted before.
func (h *handover) noteAgain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.noted {
		h.note()
	}
}

func (h *handover) note() {
	name, err := h.path(h.id, standbySuffix), error(nil)
	if failed := faultpoint.Fail(faultpoint.Folder); failed != nil {
		err = failed
	} else if h.standby {
		err = os.WriteFile(name, nil, 0o600)
	} else if err = os.Remove(name); errors.Is(err, os.ErrNotExist) {
		_, err = os.Stat(h.dir) // in a folder that is there
	}
	if h.noted = err == nil; !h.noted && !h.warned {
		slog.Warn("handover: a successor does not hear of standby yet", "on", h.standby, "err", err)
	}
	h.warned = !h.noted
}

// write leaves word for a successor, whole or not at all.
func (h *handover) write(l snapshot) error {
	l.Monotonic = monotonic()
	raw, err := encodeSnapshot(l)
	if err != nil {
		return err
	}
	if err := faultpoint.Fail(faultpoint.Folder); err != nil {
		return err
	}
	name := h.path(h.id, stateSuffix)
	if err := os.WriteFile(name+newSuffix, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(name+newSuffix, name)
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
