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

// withoutDescriptors runs f while the process may open no further descriptor.
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

// A process that has no descriptor left can't look whether another lives. It takes nobody for dead meanwhile, and
// removes nothing.
func TestNobodyIsDeadForLackOfDescriptors(t *testing.T) {
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
		t.Fatal("the two don't see each other")
	}
	withoutDescriptors(t, func() {
		if _, err := os.Open(dir); !errors.Is(err, syscall.EMFILE) {
			t.Fatalf("a descriptor is left: %v", err)
		}
		if !old.hasSuccessor() {
			t.Error("the old process takes its successor for dead")
		}
		if !next.predecessorAlive() {
			t.Error("the new process takes the old one for dead")
		}
		if _, err := livingProcesses(dir); err == nil {
			t.Error("a look without descriptors reports who lives")
		}
	})
	if left, err := next.readSnapshot(old.id, time.Now()); err != nil || left.Revision != 7 {
		t.Errorf("the old process's word: %+v, %v", left, err)
	}
	if !old.hasSuccessor() || next.predecessor != old.id || !next.predecessorAlive() {
		t.Error("one of the two counts as dead")
	}
}

// A folder that fails for a while keeps nobody from hearing, once it works again, what operators said meanwhile.
func TestStandbyIsNotedOnceTheFolderWorksAgain(t *testing.T) {
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
		if left, err := old.readSnapshot(old.id, time.Now()); err != nil || left.Standby != on {
			t.Errorf("a successor hears of standby %v, %v; want %v", left.Standby, err, on)
		}
	}
}

// The word of the process before is as old as its time on the machine's own clock, wherever the wall clock was stepped.
func TestStepsOfTheWallClockDoNotAgeTheWord(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		h, err := join(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		defer h.leave()
		if err := h.writeSnapshot(snapshot{Saved: time.Now().Add(-step), Revision: 7}); err != nil {
			t.Fatal(err)
		}
		left, err := h.readSnapshot(h.id, time.Now())
		if err != nil || left.Revision != 7 {
			t.Errorf("after a step by %v: %+v, %v", step, left, err)
			continue
		}
		if age := time.Since(left.Saved); age < 0 || age > maxSnapshotAge {
			t.Errorf("after a step by %v it is %v old", step, age)
		}
	}
}

// A process that can't use the folder at its start takes its part of the limits once the folder works.
func TestFolderIsJoinedOnceItWorks(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "shared")
	l, _ := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
	life := new(lifecycle)
	defer life.stopDraining()
	life.markServersKnown()
	life.enterStandby()
	s := &sharedLimits{loop: l, lifecycle: life, clients: newClients(nil, 100), upstream: l.upstream, clientSockets: 100, serverSockets: 150}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	var joined atomic.Pointer[handover]
	go func() { s.joinLater(ctx, dir, &joined); close(ended) }()
	defer func() { cancel(); receive(t, "the end", ended) }()
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	await(t, "the process to join", func() bool { return joined.Load() != nil })
	h := joined.Load()
	await(t, "a snapshot with the standby", func() bool {
		left, err := h.readSnapshot(h.id, time.Now())
		return err == nil && left.Standby
	})
}
