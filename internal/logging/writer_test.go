package logging

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// gatedWriter stands in for a descriptor whose writes can be made to block or to fail.
type gatedWriter struct {
	mu      sync.Mutex
	blocked chan struct{} // non-nil while writes block until it is closed
	fails   bool
	written bytes.Buffer
}

func (g *gatedWriter) Write(p []byte) (int, error) {
	g.mu.Lock()
	blocked, fails := g.blocked, g.fails
	g.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	if fails {
		return 0, errors.New("no reader")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.written.Write(p)
}

// release lets all writes through, including blocked ones.
func (g *gatedWriter) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.blocked)
	g.blocked = nil
}

// releaseOne lets the blocked write through; later ones block again.
func (g *gatedWriter) releaseOne() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.blocked)
	g.blocked = make(chan struct{})
}

func (g *gatedWriter) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.written.String()
}

func TestLinesAreWrittenCompletelyInOrder(t *testing.T) {
	dst := &gatedWriter{}
	w := NewWriter(dst)
	defer w.Close()
	want := ""
	for i := range 1000 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		if n, err := w.Write([]byte(line)); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	w.Flush(time.Minute)
	if got := dst.text(); got != want || w.Dropped() != 0 {
		t.Errorf("%d bytes of %d, %d dropped", len(got), len(want), w.Dropped())
	}
}

// reportedDrops adds up the counts of the "log lines dropped" lines.
func reportedDrops(t *testing.T, text string) (sum int64) {
	t.Helper()
	for _, match := range regexp.MustCompile(`msg="log lines dropped" count=(\d+)\n`).FindAllStringSubmatch(text, -1) {
		count, err := strconv.ParseInt(match[1], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		sum += count
	}
	return sum
}

// A blocked descriptor blocks no caller: lines that don't fit are dropped and counted, and a flush ends at its timeout.
func TestBlockedDescriptorBlocksNoCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dst := &gatedWriter{blocked: make(chan struct{})}
		w := NewWriter(dst)
		defer w.Close()
		line := []byte(strings.Repeat("x", 999) + "\n")
		const (
			lines  = 3 * maxQueueBytes / 1000
			queued = maxQueueBytes / 1000
		)
		_, _ = w.Write(line)
		synctest.Wait() // the writer's goroutine is blocked writing this line alone
		for range lines - 1 {
			_, _ = w.Write(line)
		}
		began := time.Now()
		w.Flush(time.Second)
		if d := time.Since(began); d != time.Second {
			t.Errorf("the flush took %v", d)
		}
		dropped := w.Dropped()
		if want := int64(lines - 1 - queued); dropped != want {
			t.Errorf("%d of %d lines dropped, want %d", dropped, lines, want)
		}
		dst.release()
		w.Flush(time.Minute)
		text := dst.text()
		if n := strings.Count(text, string(line)); int64(n)+dropped != lines {
			t.Errorf("%d lines written, %d dropped of %d", n, dropped, lines)
		}
		if report := fmt.Sprintf(`msg="log lines dropped" count=%d`, dropped); !strings.Contains(text, report) {
			t.Errorf("the log does not report the %d dropped lines", dropped)
		}
	})
}

// Lines dropped while the report of earlier drops is still being written are reported later, and none is reported twice.
func TestRepeatedDropsAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dst := &gatedWriter{blocked: make(chan struct{})}
		w := NewWriter(dst)
		defer w.Close()
		line := []byte(strings.Repeat("x", 999) + "\n")
		const full = maxQueueBytes / 1000 // lines that fill the queue
		_, _ = w.Write(line)
		synctest.Wait()
		for range full + 5 {
			_, _ = w.Write(line)
		}
		dst.releaseOne()
		synctest.Wait() // the first line is written; the next write, with the report of five, is blocked
		for range full {
			_, _ = w.Write(line)
		}
		dropped := w.Dropped()
		if dropped <= 5 {
			t.Fatalf("%d lines dropped, want more than the first five", dropped)
		}
		dst.release()
		w.Flush(time.Minute)
		text := dst.text()
		if !strings.Contains(text, `msg="log lines dropped" count=5`+"\n") {
			t.Error("the log does not report the first five")
		}
		if reported := reportedDrops(t, text); reported != dropped {
			t.Errorf("the log reports %d lines, %d were dropped", reported, dropped)
		}
	})
}

// However the writer's goroutine is scheduled relative to the callers, each dropped line is reported once.
func TestDropsAreReportedOnceUnderAnyScheduling(t *testing.T) {
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 50 {
		dst := &gatedWriter{}
		w := NewWriter(dst)
		for range 3 * maxQueueBytes / len(line) {
			_, _ = w.Write(line)
		}
		w.Flush(time.Minute)
		before := w.Dropped()
		_, _ = w.Write(line) // is preceded by the report of the last drops
		w.Flush(time.Minute)
		w.Close()
		if reported := reportedDrops(t, dst.text()); reported != before || w.Dropped() != before {
			t.Fatalf("the log reports %d lines, %d were dropped", reported, before)
		}
	}
}

// Lines whose write fails are counted as dropped.
func TestFailedWritesAreCounted(t *testing.T) {
	dst := &gatedWriter{fails: true}
	w := NewWriter(dst)
	defer w.Close()
	for range 5 {
		_, _ = w.Write([]byte("line\n"))
		w.Flush(time.Minute)
	}
	if got := w.Dropped(); got != 5 {
		t.Errorf("%d counted, want 5", got)
	}
}
