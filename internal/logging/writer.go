// Package logging writes log lines to a descriptor without ever holding up those who log.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueBytes bounds the lines that wait to be written.
	queueBytes = 256 << 10
	// writeBytes bounds what one call writes, but for a single longer line.
	writeBytes = 32 << 10
)

// Writer queues lines for a goroutine of its own, which alone waits for the descriptor. Where the queue is full, or the
// descriptor fails, lines are dropped and counted; the count is written once lines go through again. Make one with
// NewWriter.
type Writer struct {
	to io.Writer

	mu      sync.Mutex
	changed sync.Cond // lines wait, or none do any more
	lines   [][]byte
	bytes   int // of these
	writing bool
	closed  bool
	dropped int64 // since the start
	told    int64 // of these, in the log itself
}

// NewWriter starts the goroutine, which ends after Close.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{to: to}
	w.changed.L = &w.mu
	go w.run()
	return w
}

// Write queues a copy of one line. It never waits for the descriptor, and never fails: what has no room is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.lines) > 0 && w.bytes+len(line) > queueBytes {
		w.dropped++
		return len(line), nil
	}
	w.lines = append(w.lines, append([]byte(nil), line...))
	w.bytes += len(line)
	w.changed.Broadcast()
	return len(line), nil
}

// Dropped is how many lines were never written.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Flush waits until all that is queued has been written, but not for longer than the given time.
func (w *Writer) Flush(within time.Duration) {
	late := false
	timer := time.AfterFunc(within, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		late = true
		w.changed.Broadcast()
	})
	defer timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for (len(w.lines) > 0 || w.writing) && !late {
		w.changed.Wait()
	}
}

// Close has the goroutine end once all that is queued has been written. Lines that come later are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.changed.Broadcast()
}

func (w *Writer) run() {
	for {
		text, lines := w.next()
		if lines == 0 {
			return
		}
		_, err := w.to.Write(text)
		w.mu.Lock()
		w.writing = false
		if err != nil {
			w.dropped += int64(lines)
		}
		w.changed.Broadcast()
		w.mu.Unlock()
	}
}

// next waits for lines and takes as many as one call may write, with the count of those that were dropped before. It
// takes none once the writer is closed and empty.
func (w *Writer) next() (text []byte, lines int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.lines) == 0 && !w.closed {
		w.changed.Wait()
	}
	if len(w.lines) == 0 {
		return nil, 0
	}
	if w.dropped > w.told {
		text = fmt.Appendf(text, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n",
			time.Now().Format(time.RFC3339Nano), w.dropped-w.told)
		w.told = w.dropped
	}
	for lines < len(w.lines) && (lines == 0 || len(text)+len(w.lines[lines]) <= writeBytes) {
		text = append(text, w.lines[lines]...)
		w.bytes -= len(w.lines[lines])
		w.lines[lines] = nil
		lines++
	}
	w.lines = w.lines[lines:]
	w.writing = true
	return text, lines
}
