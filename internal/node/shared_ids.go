package node

import (
	"crypto/rand"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"cobaltward/internal/faultpoint"
)

const (
	sharedIDsName    = handoverPrefix + "ids"
	sharedIDBuckets  = 1 << 12
	sharedIDsPerSet  = 8                      // entries of a bucket
	sharedIDTick     = 250 * time.Millisecond // resolution of an entry's time
	sharedIDTimeBits = 16                     // of an entry, for its time in ticks, which wraps around after some hours
	sharedIDRetained = uint64(idRetention / sharedIDTick)
	// sharedIDClockTicks is by how many ticks two processes' readings of the clock may differ when they look at an entry.
	sharedIDClockTicks = 8
	sharedIDTries      = 8 // to write an entry that the other process changes at the same moment
)

// sharedIDs is a table of the ids of recent requests that all processes of a node share, in a file that they map: during an
// upgrade, a client that has left one process may come again with the same request at the other. An entry is one word, which
// a process claims by an atomic operation, so neither process ever waits for the other. It holds a hash of the id and
// the time at which it was claimed. Where a bucket is full, its oldest entry is replaced.
type sharedIDs struct {
	mapped  []byte
	salt    []byte // of the hashes, so that clients can't choose ids that fall into one bucket
	entries []uint64
}

const (
	sharedIDsSaltSize = 64 // of which a random part; a whole cache line, so that the entries are aligned
	sharedIDsSize     = sharedIDsSaltSize + 8*sharedIDBuckets*sharedIDsPerSet
)

// openSharedIDs maps the table in the handover folder, and creates it if there is none.
func openSharedIDs(dir string) (*sharedIDs, error) {
	if err := faultpoint.Fail(faultpoint.Folder); err != nil {
		return nil, err
	}
	name := filepath.Join(dir, sharedIDsName)
	f, err := os.OpenFile(name, os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		if err = createSharedIDs(dir, name); err == nil {
			f, err = os.OpenFile(name, os.O_RDWR, 0)
		}
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if info.Size() != sharedIDsSize {
		return nil, fmt.Errorf("%s has %d bytes, want %d", name, info.Size(), sharedIDsSize)
	}
	mapped, err := unix.Mmap(int(f.Fd()), 0, sharedIDsSize, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, os.NewSyscallError("mmap", err)
	}
	first := (*uint64)(unsafe.Pointer(&mapped[sharedIDsSaltSize])) // aligned, as mappings begin with a page
	return &sharedIDs{mapped: mapped, salt: mapped[:sharedIDsSaltSize],
		entries: unsafe.Slice(first, sharedIDBuckets*sharedIDsPerSet)}, nil
}

// createSharedIDs creates an empty table, unless another process does so at the same time. All of it is written, since a
// process that touches a part for which there is no room on the file system would be killed.
func createSharedIDs(dir, name string) error {
	content := make([]byte, sharedIDsSize)
	if _, err := rand.Read(content[:sharedIDsSaltSize]); err != nil {
		return err
	}
	f, err := os.CreateTemp(dir, handoverPrefix+"*"+tempSuffix)
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(content)
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err = os.Link(f.Name(), name); errors.Is(err, fs.ErrExist) {
		return nil
	}
	return err
}

// closeSharedIDs unmaps the table once the loop doesn't use it any more.
func (l *loop) closeSharedIDs() {
	if table := l.sharedIDs.Swap(nil); table != nil {
		_ = unix.Munmap(table.mapped) // fails only for a mapping that doesn't exist
	}
}

// claim records an id. It returns false if a process has claimed it within idRetention. nanos is the system's monotonic time,
// which all processes share.
func (s *sharedIDs) claim(id string, nanos int64) bool {
	h := fnv.New64a()
	_, _ = h.Write(s.salt)
	_, _ = h.Write([]byte(id))
	hash := scramble(h.Sum64())
	bucket := s.entries[hash%sharedIDBuckets*sharedIDsPerSet:][:sharedIDsPerSet]
	now := uint64(nanos) / uint64(sharedIDTick)
	entry := hash>>sharedIDTimeBits<<sharedIDTimeBits | now&(1<<sharedIDTimeBits-1)
	for range sharedIDTries {
		slot, old, found := findSharedID(bucket, entry)
		if found {
			return false
		}
		if atomic.CompareAndSwapUint64(&bucket[slot], old, entry) {
			return true
		}
	}
	return true // the bucket changes all the time; only the other process can have claimed the id meanwhile
}

// findSharedID looks for the id of an entry in a bucket. If it isn't there, or too old, findSharedID returns the slot to use:
// the first free one, or that of the oldest entry.
func findSharedID(bucket []uint64, entry uint64) (slot int, old uint64, found bool) {
	oldestAge := uint64(0)
	for i := range bucket {
		e := atomic.LoadUint64(&bucket[i])
		age := (entry - e) & (1<<sharedIDTimeBits - 1)
		if age >= 1<<sharedIDTimeBits-sharedIDClockTicks { // claimed by a process that read the clock later
			age = 0
		}
		if e == 0 || age > sharedIDRetained {
			age = 1 << sharedIDTimeBits // free
		} else if e>>sharedIDTimeBits == entry>>sharedIDTimeBits {
			return 0, 0, true
		}
		if age > oldestAge || i == 0 {
			slot, old, oldestAge = i, e, age
		}
	}
	return slot, old, false
}

// scramble spreads a hash over all bits (the finalizer of MurmurHash3).
func scramble(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// keepSharedIDs opens the table of ids that the processes of the node share, unless it is open. If that fails now, it is tried
// again later.
func (h *handover) keepSharedIDs(l *loop) error {
	if l.sharedIDs.Load() != nil {
		return nil
	}
	table, err := openSharedIDs(h.dir)
	if err != nil {
		return err
	}
	l.sharedIDs.Store(table)
	return nil
}
