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

// fakeNode is a node of a few lines, which forwards each request and may break a rule on purpose.
type fakeNode struct {
	servers []*server
	breaks  string
}

// serve takes one request from a connection.
func (f *fakeNode) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	if f.breaks == "closes" {
		time.Sleep(2 * closeRaceWindow)
		return
	}
	answer := f.forward(req, 0)
	switch f.breaks {
	case "repeats":
		answer = f.forward(req, 1)
	case "refuses":
		answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	case "mixes up":
		answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	}
	_, _ = io.WriteString(c, answer)
}

// forward sends the request to a server, and returns what it answers.
func (f *fakeNode) forward(req *http.Request, server int) string {
	c, err := net.Dial("tcp", f.servers[server].addr())
	if err != nil {
		return ""
	}
	defer c.Close()
	if f.breaks == "overstates" {
		req.Header.Set("X-Deadline-Ms", "60000")
	}
	out := req.Clone(context.Background())
	out.Body, out.ContentLength = http.NoBody, 0
	if out.Write(c) != nil {
		return ""
	}
	raw, _ := io.ReadAll(bufio.NewReader(io.LimitReader(c, 1<<10)))
	return string(raw)
}

// What clients and servers see on real sockets is enough for the judge to find a node that breaks a rule, and one that
// breaks none passes.
func TestSocketsShowWhatANodeBreaks(t *testing.T) {
	for breaks, want := range map[string]string{"": "", "closes": ruleUnanswered, "repeats": ruleUnsafe, "refuses": ruleRefused,
		"mixes up": ruleWrongAnswer, "overstates": ruleDeadline} {
		t.Run(breaks, func(t *testing.T) {
			j := NewChecker(false)
			fake := &fakeNode{breaks: breaks}
			for i := range 2 {
				s, err := newServer(i, j, 1)
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
			clients, n := newClientPool(j, 1), &node{number: 4, listen: ln.Addr().String(), ready: true}
			c, err := clients.take(n)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			r, text := clients.begin(n, classes[2], false)
			if !clients.write(c, text) {
				t.Fatal("the request was not written")
			}
			sent := time.Now()
			j.Sent(r, sent)
			clients.answer(n, c, r, sent)
			findings, _ := j.Finish()
			if got := ruleNames(findings); want == "" && len(got) > 0 || want != "" && !slices.Equal(got, []string{want}) {
				t.Errorf("found %v, want %q", findings, want)
			}
		})
	}
}

// A request that is sent after a kill has begun and before the process has ended is excused as well as those before.
func TestRequestsInTheMidstOfAKillAreExcused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &node{}
		before := time.Now()
		time.Sleep(time.Millisecond)
		if n.died(before) {
			t.Error("a node died that nobody killed")
		}
		n.noteKill(true)
		time.Sleep(time.Millisecond)
		amidst := time.Now()
		if !n.died(before) || !n.died(amidst) {
			t.Error("not excused while the kill goes on")
		}
		time.Sleep(time.Millisecond)
		n.noteKill(false)
		if !n.died(before) || !n.died(amidst) {
			t.Error("not excused once the kill is over")
		}
		time.Sleep(time.Millisecond)
		if n.died(time.Now()) {
			t.Error("excused after the kill")
		}
	})
}
