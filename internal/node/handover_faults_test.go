package node

import (
	"context"
	"sync/atomic"

	"cobaltward/policy"

	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// withoutDescriptors runs f while the process can't open any more file descriptors.
func withoutDescriptors(t *testing.T, f func()) {
	t.Helper()
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 0, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
			t.Fatal(err)
		}
	}()
	f()
}

// A process that has run out of file descriptors can't check whether another process is running. Until it can, it must
// not count any process as dead, nor remove any files.
func TestLackOfDescriptorsMarksNoProcessDead(t *testing.T) {
	dir := t.TempDir()
	old, err := join(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer old.leave()
	if err := old.writeSnapshot(snapshot{Saved: time.Now(), Revision: 7}); err != nil {
		t.Fatal(err)
	}
	next, err := join(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer next.leave()
	if !old.hasSuccessor() || !next.predecessorAlive() {
		t.Fatal("the two processes don't detect each other")
	}
	withoutDescriptors(t, func() {
		if _, err := os.Open(dir); !errors.Is(err, syscall.EMFILE) {
			t.Fatalf("descriptors are still available: %v", err)
		}
		if !old.hasSuccessor() {
			t.Error("the old process counts its successor as dead")
		}
		if !next.predecessorAlive() {
			t.Error("the new process counts the old one as dead")
		}
		if _, err := runningProcesses(dir); err == nil {
			t.Error("runningProcesses succeeded without descriptors")
		}
	})
	if saved, err := next.readSnapshot(old.id, time.Now()); err != nil || saved.Revision != 7 {
		t.Errorf("the old process's snapshot: %+v, %v", saved, err)
	}
	if !old.hasSuccessor() || next.predecessor != old.id || !next.predecessorAlive() {
		t.Error("one of the two processes counts as dead")
	}
}

// A change of standby that is made while the folder fails must be recorded for a successor once the folder works again.
func TestStandbyIsRecordedOnceTheFolderWorksAgain(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "shared")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	old, err := join(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer old.leave()
	life := &lifecycle{recordStandby: old.recordStandby}
	defer life.stopDraining()
	life.markServersKnown()
	for _, on := range []bool{true, false} {
		if err := os.Rename(dir, dir+"-away"); err != nil {
			t.Fatal(err)
		}
		if on {
			life.enterStandby()
		} else if err := life.activate(); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(dir+"-away", dir); err != nil {
			t.Fatal(err)
		}
		old.retryStandby()
		if err := old.writeSnapshot(snapshot{Saved: time.Now()}); err != nil {
			t.Fatal(err)
		}
		if saved, err := old.readSnapshot(old.id, time.Now()); err != nil || saved.Standby != on {
			t.Errorf("a successor reads standby %v, %v; want %v", saved.Standby, err, on)
		}
	}
}

// The age of a snapshot is measured by the machine's monotonic clock, so steps of the wall clock don't change it.
func TestWallClockStepsDoNotAgeSnapshots(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		h, err := join(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		defer h.leave()
		if err := h.writeSnapshot(snapshot{Saved: time.Now().Add(-step), Revision: 7}); err != nil {
			t.Fatal(err)
		}
		saved, err := h.readSnapshot(h.id, time.Now())
		if err != nil || saved.Revision != 7 {
			t.Errorf("after a step by %v: %+v, %v", step, saved, err)
			continue
		}
		if age := time.Since(saved.Saved); age < 0 || age > maxSnapshotAge {
			t.Errorf("after a step by %v the snapshot's age is %v", step, age)
		}
	}
}

// A process that can't use the folder at its start joins, and shares the limits, once the folder works.
func TestFolderIsJoinedOnceItWorks(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "shared")
	l, _ := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
	life := new(lifecycle)
	defer life.stopDraining()
	life.markServersKnown()
	life.enterStandby()
	limits := &sharedLimits{loop: l, lifecycle: life, clients: newClientListener(nil, 100), upstream: l.upstream, clientSockets: 100, serverSockets: 150}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	var joined atomic.Pointer[handover]
	go func() { limits.joinLater(ctx, dir, &joined); close(ended) }()
	defer func() { cancel(); receive(t, "joinLater to return", ended) }()
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	await(t, "the process to join", func() bool { return joined.Load() != nil })
	h := joined.Load()
	await(t, "a snapshot with the standby", func() bool {
		saved, err := h.readSnapshot(h.id, time.Now())
		return err == nil && saved.Standby
	})
}
