// Command simhost runs instances of the decision module for the simulator. It reads batches of messages on standard
// input, dispatches events to instances, and writes their actions to standard output. Read handleLine first, then
// packages internal/wire, which decodes and encodes the messages, and policy, which is the decision module.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"cobaltward/internal/wire"
	"cobaltward/policy"
)

// bufferSize is the buffer size of standard input and output, in bytes: a batch can be several megabytes long.
const bufferSize = 1 << 20

// gcPercent trades memory for CPU: the live heap is small, and the CPU budget per request is tight.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// host holds all instances of the process, by node number.
type host struct {
	decoder   wire.Decoder
	instances map[int]*policy.Balancer
	now       policy.Time
	inBatch   bool // a batch has begun and not ended
	out       []byte
}

// serve processes batches until the end of input and flushes the output after each. Errors name the line number.
func serve(in io.Reader, out io.Writer) error {
	h := host{instances: make(map[int]*policy.Balancer)}
	r := bufio.NewReaderSize(in, bufferSize)
	w := bufio.NewWriterSize(out, bufferSize)
	var overflow []byte
	for lineNumber := 1; ; lineNumber++ {
		line, err := readLine(r, &overflow)
		if errors.Is(err, io.EOF) {
			if len(line) == 0 && !h.inBatch {
				return nil
			}
			return fmt.Errorf("line %d: input ended inside a batch", lineNumber)
		}
		if err != nil {
			return fmt.Errorf("line %d: reading: %w", lineNumber, err)
		}
		batchDone, err := h.handleLine(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		if !batchDone {
			continue
		}
		if _, err := w.Write(h.out); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		h.out = h.out[:0]
	}
}

// readLine returns the next line without its line ending. A line longer than the reader's buffer is assembled in
// overflow.
func readLine(r *bufio.Reader, overflow *[]byte) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		*overflow = append((*overflow)[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.ReadSlice('\n')
			*overflow = append(*overflow, line...)
		}
		line = *overflow
	}
	return bytes.TrimRight(line, "\r\n"), err
}

// handleLine executes one message and reports whether it ended a batch.
func (h *host) handleLine(raw []byte) (bool, error) {
	line, err := h.decoder.Decode(raw)
	if err != nil {
		return false, err
	}
	if (line.Kind == wire.BeginBatch) == h.inBatch {
		return false, fmt.Errorf("message outside of a batch, or a batch inside another")
	}
	switch line.Kind {
	case wire.BeginBatch:
		h.now, h.inBatch = line.Now, true
	case wire.EndBatch:
		h.inBatch, h.out = false, wire.AppendYield(h.out)
		return true, nil
	case wire.Configure:
		balancer, err := policy.New(line.Settings, h.now, line.Seed)
		if err != nil {
			return false, fmt.Errorf("configure: conf: %w", err)
		}
		h.instances[line.Node] = balancer
	case wire.Shutdown:
		delete(h.instances, line.Node)
	case wire.Event:
		// An event for a node that has no instance, such as after its shutdown, is dropped.
		if balancer := h.instances[line.Node]; balancer != nil {
			h.deliver(line.Node, balancer, line.Event)
		}
	}
	return false, nil
}

// deliver passes one event to an instance and encodes its actions. A panic in the instance is recovered and reported,
// and the instance is removed.
func (h *host) deliver(node int, balancer *policy.Balancer, event policy.Event) {
	defer func() {
		if p := recover(); p != nil {
			text := strings.ReplaceAll(fmt.Sprint(p), "\n", " ")
			fmt.Fprintf(os.Stderr, "instance %d: %s\n%s", node, text, debug.Stack())
			h.out = wire.AppendBroken(h.out, node, text)
			delete(h.instances, node)
		}
	}()
	for _, action := range balancer.Handle(h.now, event) {
		h.out = wire.AppendAction(h.out, node, action)
	}
}
