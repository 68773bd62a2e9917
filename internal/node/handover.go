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
	handoverVersion      = 1
	snapshotInterval     = 250 * time.Millisecond // between writes of the snapshot for a successor
	snapshotCostFactor   = 50                     // the time between writes is at least this many times the duration of one
	maxSnapshotAge       = 3 * time.Second        // a snapshot that is older is ignored
	processCheckInterval = 50 * time.Millisecond  // between checks for the node's other process
	maxSnapshotSize      = 4 << 20                // bytes of a snapshot
	minConnsPerSide      = 8                      // least limit of client connections, and of server connections
	lockSuffix           = ".lock"
	stateSuffix          = ".state"
	standbySuffix        = ".standby" // exists while its process is in standby
	tempSuffix           = ".new"     // of a file that is incomplete
	handoverPrefix       = "wayhold-"

	// Joining the folder may fail for a while, because of the file system or a lack of file descriptors.
	joinTimeout    = 2 * time.Second // of the 6 s in which a new process must be ready
	minFolderPause = 5 * time.Millisecond
	maxFolderPause = 100 * time.Millisecond
)

// handover is what the two processes of a node share during an upgrade, in a folder that both can access. Each process
// holds a lock on a file for as long as it runs: the kernel releases it after a crash too, and unlike a process id it can't
// be taken over by an unrelated process. The later process has the greater id. Beside the lock file is the snapshot for
// a successor.
type handover struct {
	dir            string
	id             int64
	predecessor    int64 // the id of the running process before this one; 0: none
	lock           *os.File
	successorAlive atomic.Bool // a later process was running at the last successful check

	mu             sync.Mutex
	standby        bool // as last set by operators
	standbyWritten bool // the standby file agrees with standby
	standbyWarned  bool // a failure to write the standby file was logged
}

// join enters the folder, and removes the files of dead processes.
func join(dir string) (*handover, error) {
	ids, err := runningProcesses(dir)
	if err != nil {
		return nil, err
	}
	h := &handover{dir: dir, standbyWritten: true}
	for _, id := range ids {
		h.predecessor = max(h.predecessor, id)
	}
	h.id = max(time.Now().UnixNano(), h.predecessor+1)
	// Locked before the rename, since an unlocked file of the final name belongs to a dead process.
	if h.lock, err = os.CreateTemp(dir, handoverPrefix+"*"+tempSuffix); err != nil {
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

// joinWithRetry is join with retries for temporary failures of the folder or of this process.
func joinWithRetry(dir string) (h *handover, err error) {
	pauses := syserr.Backoff{Initial: minFolderPause, Max: maxFolderPause}
	err = syserr.Retry(context.Background(), joinTimeout, pauses, func() (err error) {
		h, err = join(dir)
		return err
	})
	return h, err
}

// flock takes a lock without blocking.
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

// runningProcesses returns the ids of the processes whose locks are held, and removes the files of the others. It returns
// an error if it can't check them all; a process that can't be checked isn't taken for dead.
func runningProcesses(dir string) (ids []int64, err error) {
	if err := faultpoint.Fail(faultpoint.Folder); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		base, isLock := strings.CutSuffix(entry.Name(), lockSuffix)
		number, prefixed := strings.CutPrefix(base, handoverPrefix)
		id, err := strconv.ParseInt(number, 10, 64)
		if !isLock || !prefixed || err != nil || id <= 0 {
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
			for _, suffix := range []string{lockSuffix, stateSuffix, stateSuffix + tempSuffix, standbySuffix} {
				os.Remove(name + suffix)
			}
		}
	}
	return ids, nil
}

// lockHeld reports whether a running process holds the lock on the prefixed file; an error means that this is unknown.
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

// hasSuccessor reports whether a later process is running; if that can't be checked now, it returns the last result.
func (h *handover) hasSuccessor() bool {
	ids, err := runningProcesses(h.dir)
	if err != nil {
		return h.successorAlive.Load()
	}
	later := false
	for _, id := range ids {
		later = later || id > h.id
	}
	h.successorAlive.Store(later)
	return later
}

// predecessorAlive reports whether the process before this one is still running.
func (h *handover) predecessorAlive() bool {
	if h.predecessor == 0 {
		return false
	}
	if alive, err := lockHeld(h.path(h.predecessor, lockSuffix)); err == nil && !alive {
		h.predecessor = 0
	}
	return h.predecessor != 0
}

// leave removes this process's files from the folder.
func (h *handover) leave() {
	os.Remove(h.path(h.id, stateSuffix))
	os.Remove(h.path(h.id, standbySuffix))
	os.Remove(h.path(h.id, lockSuffix))
	h.lock.Close()
	if others, err := runningProcesses(h.dir); err == nil && len(others) == 0 {
		os.Remove(filepath.Join(h.dir, sharedIDsName))
	}
}

// recordStandby writes the standby state for a successor at once, before the operator's call returns: the snapshot is
// written only periodically, and a new process may be started in between.
func (h *handover) recordStandby(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.standby, h.standbyWritten = on, false
	h.writeStandby()
}

// retryStandby writes a standby state that could not be written before.
func (h *handover) retryStandby() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.standbyWritten {
		h.writeStandby()
	}
}

func (h *handover) writeStandby() {
	name, err := h.path(h.id, standbySuffix), error(nil)
	if injected := faultpoint.Fail(faultpoint.Folder); injected != nil {
		err = injected
	} else if h.standby {
		err = os.WriteFile(name, nil, 0o600)
	} else if err = os.Remove(name); errors.Is(err, os.ErrNotExist) {
		_, err = os.Stat(h.dir) // fails if the folder doesn't exist
	}
	if h.standbyWritten = err == nil; !h.standbyWritten && !h.standbyWarned {
		slog.Warn("handover: standby state not written for a successor", "on", h.standby, "err", err)
	}
	h.standbyWarned = !h.standbyWritten
}

// writeSnapshot writes the snapshot for a successor atomically.
func (h *handover) writeSnapshot(s snapshot) error {
	s.Monotonic = monotonicNanos()
	raw, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	if err := faultpoint.Fail(faultpoint.Folder); err != nil {
		return err
	}
	name := h.path(h.id, stateSuffix)
	if err := os.WriteFile(name+tempSuffix, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(name+tempSuffix, name)
}

// readSnapshot reads the snapshot of another process, if it is complete and recent.
func (h *handover) readSnapshot(id int64, now time.Time) (snapshot, error) {
	f, err := os.Open(h.path(id, stateSuffix))
	if err != nil {
		return snapshot{}, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxSnapshotSize)) // if it is truncated, the checksum doesn't match
	if err != nil {
		return snapshot{}, err
	}
	s, err := decodeSnapshot(raw, now)
	if err == nil {
		_, statErr := os.Stat(h.path(id, standbySuffix))
		s.Standby = statErr == nil
	}
	return s, err
}
