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

// gate is a descriptor that can be made to wait, or to fail.
type gate struct {
	mu    sync.Mutex
	shut  chan struct{} // nil: it is open
	fails bool
	got   bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	g.mu.Lock()
	shut, fails := g.shut, g.fails
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
	if fails {
		return 0, errors.New("no reader")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(p)
}

// open lets all writes through, also those that wait.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.shut)
	g.shut = nil
}

// letOneThrough lets the write that waits go on; later ones wait again.
func (g *gate) letOneThrough() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.shut)
	g.shut = make(chan struct{})
}

func (g *gate) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.String()
}

func TestLinesComeWholeAndInOrder(t *testing.T) {
	g := &gate{}
	w := NewWriter(g)
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
	if got := g.text(); got != want || w.Dropped() != 0 {
		t.Errorf("%d bytes of %d, %d dropped", len(got), len(want), w.Dropped())
	}
}

// toldDropped adds up the counts in the lines by which the log tells of dropped ones.
func toldDropped(t *testing.T, text string) (sum int64) {
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

// A descriptor that takes nothing holds nobody up: what has no room is dropped and counted, and a flush ends in time.
func TestStalledDescriptorHoldsUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{shut: make(chan struct{})}
		w := NewWriter(g)
		defer w.Close()
		line := []byte(strings.Repeat("x", 999) + "\n")
		const (
			lines  = 3 * queueBytes / 1000
			queued = queueBytes / 1000
		)
		_, _ = w.Write(line)
		synctest.Wait() // the writer's goroutine waits for the descriptor with this line alone
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
		g.open()
		w.Flush(time.Minute)
		text := g.text()
		if n := strings.Count(text, string(line)); int64(n)+dropped != lines {
			t.Errorf("%d lines written, %d dropped of %d", n, dropped, lines)
		}
		if told := fmt.Sprintf(`msg="log lines dropped" count=%d`, dropped); !strings.Contains(text, told) {
			t.Errorf("the log does not tell of the %d lines", dropped)
		}
	})
}

// Where lines are dropped again behind the line that tells of them, the log tells of the rest, and of none twice.
func TestLinesDroppedInTwoPartsAreToldOnceEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{shut: make(chan struct{})}
		w := NewWriter(g)
		defer w.Close()
		line := []byte(strings.Repeat("x", 999) + "\n")
		const full = queueBytes / 1000 // lines that fill the queue
		_, _ = w.Write(line)
		synctest.Wait()
		for range full + 5 {
			_, _ = w.Write(line)
		}
		g.letOneThrough()
		synctest.Wait() // the first line is written; the next write holds the word of five, and waits
		for range full {
			_, _ = w.Write(line)
		}
		dropped := w.Dropped()
		if dropped <= 5 {
			t.Fatalf("%d lines dropped, want more than the first five", dropped)
		}
		g.open()
		w.Flush(time.Minute)
		text := g.text()
		if !strings.Contains(text, `msg="log lines dropped" count=5`+"\n") {
			t.Error("the log does not tell of the first five")
		}
		if told := toldDropped(t, text); told != dropped {
			t.Errorf("the log tells of %d lines, %d were dropped", told, dropped)
		}
	})
}

// However the writer's goroutine is scheduled among those who log, the log tells of each dropped line once.
func TestDroppedLinesAreToldInAnyOrder(t *testing.T) {
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 50 {
		g := &gate{}
		w := NewWriter(g)
		for range 3 * queueBytes / len(line) {
			_, _ = w.Write(line)
		}
		w.Flush(time.Minute)
		before := w.Dropped()
		_, _ = w.Write(line) // tells of what was dropped last
		w.Flush(time.Minute)
		w.Close()
		if told := toldDropped(t, g.text()); told != before || w.Dropped() != before {
			t.Fatalf("the log tells of %d lines, %d were dropped", told, before)
		}
	}
}

// Lines that the descriptor refuses are counted.
func TestRefusedLinesAreCounted(t *testing.T) {
	g := &gate{fails: true}
	w := NewWriter(g)
	defer w.Close()
	for range 5 {
		_, _ = w.Write([]byte("line\n"))
		w.Flush(time.Minute)
	}
	if got := w.Dropped(); got != 5 {
		t.Errorf("%d counted, want 5", got)
	}
}
