package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"golang.org/x/sys/unix"

	"cobaltward/internal/discovery"
	"cobaltward/internal/field"
	"cobaltward/policy"
)

// snapshot is what a process leaves to its successor.
type snapshot struct {
	Saved time.Time
	// Monotonic is the same on the machine's monotonic clock, in nanoseconds, for its wall clock may be stepped meanwhile;
	// 0 where an older version wrote it.
	Monotonic int64
	Standby   bool
	Revision  int64
	Members   []discovery.Member
	Policy    policy.Memory
	// Connections that the process may have open yet, for the two are held to one node's descriptors.
	Clients, Servers int
}

// encodeSnapshot writes one line with the version and a checksum, and the rest as JSON.
func encodeSnapshot(l snapshot) ([]byte, error) {
	raw, err := json.Marshal(l)
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf("wayhold %d %08x\n", handoverVersion, checksum(raw))
	return append([]byte(head), raw...), nil
}

func checksum(raw []byte) uint32 { return crc32.ChecksumIEEE(raw) }

func decodeSnapshot(raw []byte, now time.Time) (snapshot, error) {
	head, raw, _ := bytes.Cut(raw, []byte("\n"))
	if want := fmt.Sprintf("wayhold %d %08x", handoverVersion, checksum(raw)); string(head) != want {
		return snapshot{}, fmt.Errorf("begins with %.40q, want %q", head, want)
	}
	var l snapshot
	if err := json.Unmarshal(raw, &l); err != nil {
		return snapshot{}, err
	}
	age := now.Sub(l.Saved)
	if l.Monotonic != 0 {
		age = time.Duration(monotonic() - l.Monotonic)
	}
	if age > snapshotFor || age < -snapshotFor {
		return snapshot{}, fmt.Errorf("written %v ago", age)
	}
	if l.Monotonic != 0 {
		l.Saved = now.Add(-age)
	}
	for i, m := range l.Members {
		if m.Server == "" || m.Availability > policy.Removed || m.UpSince < 0 || m.UpSince >= 1<<53 {
			return snapshot{}, fmt.Errorf("members[%d] makes no sense", i)
		}
		if err := field.CheckAddress(m.Addr); err != nil {
			return snapshot{}, fmt.Errorf("members[%d]: %w", i, err)
		}
	}
	if l.Clients < 0 || l.Servers < 0 {
		return snapshot{}, errors.New("connections below 0")
	}
	return l, nil
}

// monotonic is the machine's monotonic clock in nanoseconds, which all its processes share; 0 where it can't be read.
func monotonic() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return t.Nano()
}
