// Package logging writes log lines to a descriptor without ever blocking the callers.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueueBytes bounds the queued lines.
	maxQueueBytes = 256 << 10
	// maxWriteBytes bounds one write call, except for a single longer line.
	maxWriteBytes = 32 << 10
)

// Writer queues lines for its goroutine, which alone blocks on the descriptor. If the queue is full or a write fails,
// lines are dropped and counted; the count is logged before the next lines that are written. Create one with NewWriter.
type Writer struct {
	dst io.Writer

	mu          sync.Mutex
	changed     sync.Cond // signals a change of lines, writing or closed
	lines       [][]byte
	queuedBytes int // total length of lines
	writing     bool
	closed      bool
	dropped     int64 // since the start
	reported    int64 // dropped lines that the log has reported
}

// NewWriter returns a Writer and starts its goroutine, which ends after Close.
func NewWriter(dst io.Writer) *Writer {
	w := &Writer{dst: dst}
	w.changed.L = &w.mu
	go w.run()
	return w
}

// Write queues a copy of one line. It never blocks on the descriptor and never fails: a line that doesn't fit is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.lines) > 0 && w.queuedBytes+len(line) > maxQueueBytes {
		w.dropped++
		return len(line), nil
	}
	w.lines = append(w.lines, append([]byte(nil), line...))
	w.queuedBytes += len(line)
	w.changed.Broadcast()
	return len(line), nil
}

// Dropped returns how many lines were never written.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Flush waits until all queued lines have been written, but no longer than the timeout.
func (w *Writer) Flush(timeout time.Duration) {
	expired := false
	timer := time.AfterFunc(timeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		expired = true
		w.changed.Broadcast()
	})
	defer timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for (len(w.lines) > 0 || w.writing) && !expired {
		w.changed.Wait()
	}
}

// Close ends the goroutine once all queued lines have been written. Later lines are dropped.
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
		_, err := w.dst.Write(text)
		w.mu.Lock()
		w.writing = false
		if err != nil {
			w.dropped += int64(lines)
		}
		w.changed.Broadcast()
		w.mu.Unlock()
	}
}

// next waits for lines and removes as many from the queue as one call may write. The text starts with the count of lines
// dropped since the last report, if any. It returns no lines once the writer is closed and the queue empty.
func (w *Writer) next() (text []byte, lines int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.lines) == 0 && !w.closed {
		w.changed.Wait()
	}
	if len(w.lines) == 0 {
		return nil, 0
	}
	if w.dropped > w.reported {
		text = fmt.Appendf(text, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n",
			time.Now().Format(time.RFC3339Nano), w.dropped-w.reported)
		w.reported = w.dropped
	}
	for lines < len(w.lines) && (lines == 0 || len(text)+len(w.lines[lines]) <= maxWriteBytes) {
		text = append(text, w.lines[lines]...)
		w.queuedBytes -= len(w.lines[lines])
		w.lines[lines] = nil
		lines++
	}
	w.lines = w.lines[lines:]
	w.writing = true
	return text, lines
}
