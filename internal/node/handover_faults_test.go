package node

import (
	"errors"
	"os"
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
	if err := old.write(legacy{Saved: time.Now(), Revision: 7}); err != nil {
		t.Fatal(err)
	}
	next, err := join(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer next.leave()
	withoutDescriptors(t, func() {
		if _, err := os.Open(dir); !errors.Is(err, syscall.EMFILE) {
			t.Fatalf("a descriptor is left: %v", err)
		}
		if !old.succeeded() {
			t.Error("the old process takes its successor for dead")
		}
		if _, err := living(dir); err == nil {
			t.Error("a look without descriptors reports who lives")
		}
	})
	if left, err := next.read(old.id, time.Now()); err != nil || left.Revision != 7 {
		t.Errorf("the old process's word: %+v, %v", left, err)
	}
	if !old.succeeded() || next.before != old.id || !held(next.path(old.id, lockSuffix)) {
		t.Error("one of the two counts as dead")
	}
}
