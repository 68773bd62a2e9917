package logging

import (
	"bytes"
	"errors"
	"fmt"
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

// A descriptor that takes nothing holds nobody up: what has no room is dropped and counted, and a flush ends in time.
func TestStalledDescriptorHoldsUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{shut: make(chan struct{})}
		w := NewWriter(g)
		defer w.Close()
		line := []byte(strings.Repeat("x", 999) + "\n")
		const lines = 3 * queueBytes / 1000
		for range lines {
			_, _ = w.Write(line)
		}
		began := time.Now()
		w.Flush(time.Second)
		if d := time.Since(began); d != time.Second {
			t.Errorf("the flush took %v", d)
		}
		dropped := w.Dropped()
		if dropped < lines/2 || dropped > lines*3/4 {
			t.Errorf("%d of %d lines dropped", dropped, lines)
		}
		g.mu.Lock()
		close(g.shut)
		g.shut = nil
		g.mu.Unlock()
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
