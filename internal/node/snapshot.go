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

// snapshot is the state that a process leaves to its successor.
type snapshot struct {
	Saved time.Time
	// Monotonic is the time of Saved on the machine's monotonic clock, in nanoseconds, since the wall clock may be stepped
	// in between; 0 if written by an older version.
	Monotonic int64
	Standby   bool
	Revision  int64
	Members   []discovery.Member
	Policy    policy.Memory
	// Clients and Servers are the numbers of connections that the process may still have open: both processes together must
	// not use more file descriptors than one node may.
	Clients, Servers int
}

// encodeSnapshot writes a line with the version and a checksum, followed by the snapshot as JSON.
func encodeSnapshot(s snapshot) ([]byte, error) {
	raw, err := json.Marshal(s)
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
		return snapshot{}, fmt.Errorf("snapshot header %.40q, want %q", head, want)
	}
	var s snapshot
	if err := json.Unmarshal(raw, &s); err != nil {
		return snapshot{}, err
	}
	age := now.Sub(s.Saved)
	if s.Monotonic != 0 {
		age = time.Duration(monotonicNanos() - s.Monotonic)
	}
	if age > maxSnapshotAge || age < -maxSnapshotAge {
		return snapshot{}, fmt.Errorf("snapshot was written %v ago", age)
	}
	if s.Monotonic != 0 {
		s.Saved = now.Add(-age)
	}
	for i, m := range s.Members {
		if m.Server == "" || m.Availability > policy.Removed || m.UpSince < 0 || m.UpSince >= 1<<53 {
			return snapshot{}, fmt.Errorf("members[%d]: invalid server, availability or start time", i)
		}
		if err := field.CheckAddress(m.Addr); err != nil {
			return snapshot{}, fmt.Errorf("members[%d]: %w", i, err)
		}
	}
	if s.Clients < 0 || s.Servers < 0 {
		return snapshot{}, errors.New("negative number of connections")
	}
	return s, nil
}

// monotonicNanos returns the machine's monotonic clock, which all processes share, in nanoseconds; 0 if it can't be read.
func monotonicNanos() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return t.Nano()
}
