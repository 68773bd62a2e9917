package soak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// fakeNode is a minimal node that forwards each request and violates a rule if it is told to.
type fakeNode struct {
	servers   []*server
	violation string // the violation, as in TestCheckerFindsViolationsOnSockets; empty for none
}

// serve answers one request of a connection.
func (f *fakeNode) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	if f.violation == "closes" {
		time.Sleep(2 * closeRaceWindow)
		return
	}
	answer := f.forward(req, 0)
	switch f.violation {
	case "repeats":
		answer = f.forward(req, 1)
	case "refuses":
		answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	case "mixes up":
		answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	}
	_, _ = io.WriteString(c, answer)
}

// forward sends the request to a server, and returns the text of its answer, or the empty string on an error.
func (f *fakeNode) forward(req *http.Request, server int) string {
	c, err := net.Dial("tcp", f.servers[server].addr())
	if err != nil {
		return ""
	}
	defer c.Close()
	if f.violation == "overstates" {
		req.Header.Set("X-Deadline-Ms", "60000")
	}
	out := req.Clone(context.Background())
	out.Body, out.ContentLength = http.NoBody, 0
	if out.Write(c) != nil {
		return ""
	}
	answer, _ := io.ReadAll(bufio.NewReader(io.LimitReader(c, 1<<10)))
	return string(answer)
}

// Checks, with clients and servers on real sockets, that each violation of a node is reported under its rule, and that a
// correct node has no findings.
func TestCheckerFindsViolationsOnSockets(t *testing.T) {
	for violation, want := range map[string]string{"": "", "closes": ruleUnanswered, "repeats": ruleUnsafe, "refuses": ruleRefused,
		"mixes up": ruleWrongAnswer, "overstates": ruleDeadline} {
		t.Run(violation, func(t *testing.T) {
			checker := NewChecker(false)
			fake := &fakeNode{violation: violation}
			for i := range 2 {
				s, err := newServer(i, checker, 1)
				if err != nil {
					t.Fatal(err)
				}
				defer s.close()
				s.closesAfterAnswer = true
				fake.servers = append(fake.servers, s)
			}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					go fake.serve(c)
				}
			}()
			clients, n := newClientPool(checker, 1), &node{number: 4, listenAddr: ln.Addr().String(), ready: true}
			c, err := clients.getConn(n)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			r, text := clients.newRequest(n, defaultClasses[2], false)
			if !clients.writeRequest(c, text) {
				t.Fatal("the request was not written")
			}
			sent := time.Now()
			checker.Sent(r, sent)
			clients.readAnswer(n, c, r, sent)
			findings, _ := checker.Finish()
			if got := ruleNames(findings); want == "" && len(got) > 0 || want != "" && !slices.Equal(got, []string{want}) {
				t.Errorf("findings are %v, want rule %q", findings, want)
			}
		})
	}
}

// Guards against blaming a node for the loss of a request that was sent while its process was being killed: it is excused
// like one sent before the kill.
func TestKilledSinceCoversTheWholeKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &node{}
		before := time.Now()
		time.Sleep(time.Millisecond)
		if n.killedSince(before) {
			t.Error("killedSince is true without a kill")
		}
		n.recordKill(true)
		time.Sleep(time.Millisecond)
		duringKill := time.Now()
		if !n.killedSince(before) || !n.killedSince(duringKill) {
			t.Error("killedSince is false during the kill")
		}
		time.Sleep(time.Millisecond)
		n.recordKill(false)
		if !n.killedSince(before) || !n.killedSince(duringKill) {
			t.Error("killedSince is false after the kill, for a time before its end")
		}
		time.Sleep(time.Millisecond)
		if n.killedSince(time.Now()) {
			t.Error("killedSince is true for a time after the kill")
		}
	})
}
