package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["slow-answer"] = slowAnswer
	cases["behind-chunks"] = behindChunks
}

// slowAnswer: a transcriber writes an answer of 208 KiB slowly, at 64 KiB a second, in a form that tells no length ahead.
func slowAnswer(b *bench) {
	const piece, pieces = 16 << 10, 13
	n := b.small(defaults(), 3, func(_ int, t *transcriber) {
		t.answer = func(t *transcriber, r *request) bool {
			fmt.Fprint(r.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for i := range pieces {
				if _, err := fmt.Fprintf(r.conn, "%x\r\n%s\r\n", piece, make([]byte, piece)); err != nil {
					b.note("%s: answer to %s cut off by the node after %d of %d pieces: %v", t.name, r.id, i, pieces, err)
					return false
				}
				if b.trouble {
					time.Sleep(250 * time.Millisecond)
				}
			}
			_, err := fmt.Fprint(r.conn, "0\r\n\r\n")
			b.note("%s: gave all of the answer to %s", t.name, r.id)
			return err == nil
		}
	})
	lost := 0
	var clients sync.WaitGroup
	var mu sync.Mutex
	for i := range 3 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			c := b.dial(n.addr)
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			id := fmt.Sprintf("mark-%d", i)
			_, _ = c.Write(head("POST", id, "mark-read", 1500, key(id), length(0)))
			began := time.Now()
			status, body, _, err := readAnswer(newReader(c))
			verdict := "whole"
			mu.Lock()
			defer mu.Unlock()
			if status != 200 || err != nil || len(body) != piece*pieces {
				verdict = "CUT OFF"
				lost++
			}
			b.note("client: %s: status %d, %d of %d bytes, error %v, after %.3f s: %s", id, status, len(body), piece*pieces, err, time.Since(began).Seconds(), verdict)
		})
	}
	clients.Wait()
	b.finish(lost, "answer cut off that its transcriber still gave")
}

// behindChunks: clients send two requests at once on one connection, the first with a chunked body of 40,000 bytes of text.
func behindChunks(b *bench) {
	n := b.small(defaults(), 3, nil)
	lost := 0
	for i, line := range []string{"a line of a transcript\n", "0 min 42 s of voicemail\n"} {
		for k := range 3 {
			id := fmt.Sprintf("mark-%d-%d", i, k)
			body := strings.Repeat(line, 40_000/len(line))
			var text bytes.Buffer
			text.Write(head("POST", id, "mark-read", 1500, key(id), "Transfer-Encoding: chunked"))
			for len(body) > 0 {
				size := min(len(body), 4096)
				fmt.Fprintf(&text, "%x\r\n%s\r\n", size, body[:size])
				body = body[size:]
			}
			text.WriteString("0\r\n\r\n")
			behind := head("GET", id+"-behind", "transcript-get", 1500)
			c := b.dial(n.addr)
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			in := newReader(c)
			if b.trouble {
				text.Write(behind)
			}
			_, _ = c.Write(text.Bytes())
			status, _, closes, err := readAnswer(in)
			b.note("client: %s (lines %q): status %d, error %v, connection closes: %v", id, line, status, err, closes)
			if !b.trouble {
				if closes {
					c.Close()
					c = b.dial(n.addr)
					in = newReader(c)
				}
				_, _ = c.Write(behind)
			}
			status, _, _, err = readAnswer(in)
			verdict := "answered"
			if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) { // a request that was left unread resets the connection
				verdict = "READ AND CLOSED"
				lost++
			}
			b.note("client: %s-behind: status %d, error %v: %s", id, status, err, verdict)
			c.Close()
		}
	}
	b.finish(lost, "request that was read and whose connection was closed with no answer")
}
