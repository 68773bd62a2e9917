package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// expectState fails the test if the phase, the readiness or closesAfterAnswer differs from what is expected.
func (l *lifecycle) expectState(t *testing.T, when string, p phase, ready, closes bool) {
	t.Helper()
	if l.phase() != p || l.ready() != ready || l.closesAfterAnswer() != closes {
		t.Errorf("%s: %v, ready %v, closes connections %v; want %v, %v, %v", when, l.phase(), l.ready(),
			l.closesAfterAnswer(), p, ready, closes)
	}
}

// In standby the node reports at once that it isn't ready, serves as before until the front has noticed, and then closes
// client connections for as long as standby lasts.
func TestStandbyDrainsClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := 0
		l := lifecycle{closeIdle: func(time.Time) { closed++ }}
		defer l.stopDraining()
		l.expectState(t, "at the start", starting, false, false)
		l.markServersKnown()
		l.expectState(t, "with servers known", active, true, false)
		l.enterStandby()
		l.expectState(t, "right after enterStandby", standby, false, false)
		time.Sleep(standbyNotice - time.Millisecond)
		synctest.Wait()
		l.expectState(t, "before standbyNotice has passed", standby, false, false)
		l.enterStandby() // a repeated call doesn't restart the timer
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		l.expectState(t, "after standbyNotice", standby, false, true)
		time.Sleep(10 * closeIdleInterval)
		synctest.Wait()
		if closed < 10 {
			t.Errorf("closeIdle was called %d times in a second, want at least 10", closed)
		}
		if err := l.activate(); err != nil {
			t.Error(err)
		}
		l.expectState(t, "active again", active, true, false)
		before := closed
		time.Sleep(10 * standbyNotice)
		synctest.Wait()
		l.expectState(t, "long after standby", active, true, false)
		if closed != before {
			t.Errorf("closeIdle was still called after standby had ended")
		}
	})
}

// Standby that ends before standbyNotice has passed must not leave a timer running: a second standby lasts for the whole
// of standbyNotice before connections are closed.
func TestActivateBeforeStandbyNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l lifecycle
		defer l.stopDraining()
		l.markServersKnown()
		l.enterStandby()
		time.Sleep(standbyNotice / 2)
		for range 2 { // a repeated call has no effect
			if err := l.activate(); err != nil {
				t.Error(err)
			}
		}
		l.enterStandby()
		time.Sleep(3 * standbyNotice / 4) // the timer of the first standby would have expired
		synctest.Wait()
		l.expectState(t, "during the second notice", standby, false, false)
		time.Sleep(standbyNotice)
		synctest.Wait()
		l.expectState(t, "after the second notice", standby, false, true)
	})
}

// Once the process is stopping, calls of operators don't change its phase.
func TestShutdownOverridesOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l lifecycle
		defer l.stopDraining()
		l.markServersKnown()
		l.beginLeaving(time.Second)
		l.enterStandby()
		l.expectState(t, "after enterStandby", leaving, false, false)
		if l.activate() == nil {
			t.Error("activate succeeded while the process was stopping")
		}
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		l.expectState(t, "after the notice", leaving, false, true)
		l.beginClosing()
		l.expectState(t, "after beginClosing", closing, false, true)
	})
}

// Standby may begin and end before the servers are known; the operators' last call takes effect once they are.
func TestStandbyBeforeServersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l lifecycle
		defer l.stopDraining()
		l.enterStandby()
		if err := l.activate(); err != nil {
			t.Error(err)
		}
		l.expectState(t, "after activate", starting, false, false)
		l.enterStandby()
		l.markServersKnown()
		l.expectState(t, "with servers known", standby, false, false)
		if err := l.activate(); err != nil {
			t.Error(err)
		}
		l.expectState(t, "active again", active, true, false)
	})
}

// A whole node in standby serves the open requests and closes their connections with the responses, closes idle
// connections, and still serves clients that connect. Once active again it keeps connections open.
func TestStandbyOfWholeNode(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") == "slow" {
			held <- struct{}{}
			<-hold
		}
	})
	node, adminAddr := startNodeWithAdmin(t, testConfig(t, memberListJSON(addr)))
	idle, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	busy, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	if err := newRequest(t, node, "GET", "read", "slow", "").Write(busy); err != nil {
		t.Fatal(err)
	}
	receive(t, "the slow request", held)
	if status := callAdmin(t, adminAddr, "POST", "/standby"); status != 200 {
		t.Errorf("/standby: status %d", status)
	}
	if status := callAdmin(t, adminAddr, "GET", "/status"); status != 503 {
		t.Errorf("/status in standby: status %d", status)
	}
	resp, err := http.Get("http://" + node + readyPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 503 {
		t.Errorf("readiness in standby: status %d", resp.StatusCode)
	}
	if n, err := idle.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("the idle connection: read %d bytes, %v; want EOF", n, err)
	}
	if resp, _ := doRequest(t, newRequest(t, node, "GET", "read", "late", "")); resp.StatusCode != 200 {
		t.Errorf("a client that connected in standby: status %d", resp.StatusCode)
	}
	close(hold)
	resp, err = http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the open request: %v, %v; want 200 and a closing connection", resp, err)
	}
	if status := callAdmin(t, adminAddr, "POST", "/active"); status != 200 {
		t.Errorf("/active: status %d", status)
	}
	if status := callAdmin(t, adminAddr, "GET", "/status"); status != 200 {
		t.Errorf("/status when active again: status %d", status)
	}
	busy, err = net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	for i := range 2 {
		if err := newRequest(t, node, "GET", "read", fmt.Sprint("again", i), "").Write(busy); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
		if err != nil || resp.StatusCode != 200 || resp.Close {
			t.Fatalf("after standby: %v, %v", resp, err)
		}
	}
}

// A connection on which a request has arrived is not closed as idle, even if the request has not been read yet.
func TestUnreadRequestKeepsConnectionOpen(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newClientListener(ln, 10)
	defer l.Close()
	var clients [2]net.Conn
	var conns [2]net.Conn
	for i := range clients {
		if clients[i], err = net.Dial("tcp", ln.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer clients[i].Close()
		if conns[i], err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		defer conns[i].Close()
	}
	if _, err := io.WriteString(clients[0], "GET"); err != nil {
		t.Fatal(err)
	}
	await(t, "the unread data", func() bool { return !isIdle(conns[0].(*clientConn).TCPConn) })
	l.closeIdle(conns[0].(*clientConn).lastActive.Add(closeIdleAfter - 1)) // too early for both
	if l.openCount() != 2 {
		t.Errorf("%d connections open, want both", l.openCount())
	}
	l.closeIdle(time.Now().Add(2 * closeIdleAfter))
	if l.openCount() != 1 {
		t.Errorf("%d connections open, want the one with a request", l.openCount())
	}
	got := make([]byte, 8)
	if n, err := conns[0].Read(got); string(got[:n]) != "GET" || err != nil {
		t.Errorf("read %q, %v", got[:n], err)
	}
	l.closeIdle(time.Now().Add(2 * closeIdleAfter)) // a partial head counts as a request too
	if l.openCount() != 1 {
		t.Error("a connection with a partial request was closed")
	}
}

// A client that is drained gets the responses to all pipelined requests that have arrived; the last response closes the
// connection.
func TestPipelinedRequestsAreServedBeforeClose(t *testing.T) {
	testDrainWithPipelinedRequests(t, 3)
}

// As above, with more pipelined requests than the node has read when the drain begins.
func TestManyPipelinedRequestsAreServedBeforeClose(t *testing.T) {
	testDrainWithPipelinedRequests(t, 30)
}

func testDrainWithPipelinedRequests(t *testing.T, count int) {
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") == "r0" {
			held <- struct{}{}
			<-hold
		}
	})
	node, adminAddr := startNodeWithAdmin(t, testConfig(t, memberListJSON(addr)))
	c, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var requests bytes.Buffer
	for i := range count {
		if err := newRequest(t, node, "GET", "read", fmt.Sprint("r", i), "").Write(&requests); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Write(requests.Bytes()); err != nil {
		t.Fatal(err)
	}
	receive(t, "the first request", held)
	callAdmin(t, adminAddr, "POST", "/standby")
	idle, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	if n, err := idle.Read(make([]byte, 1)); n != 0 || err != io.EOF { // from then on responses close their connections
		t.Errorf("an idle connection: read %d bytes, %v; want EOF", n, err)
	}
	close(hold)
	responses := bufio.NewReader(c)
	for i := range count {
		resp, err := http.ReadResponse(responses, nil)
		if err != nil || resp.StatusCode != 200 || resp.Close != (i == count-1) {
			t.Fatalf("response %d: %v, %v", i, resp, err)
		}
	}
	if _, err := responses.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: %v, want EOF", err)
	}
}
