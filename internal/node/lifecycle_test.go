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

// want checks a lifecycle at one moment.
func (l *lifecycle) want(t *testing.T, when string, p phase, ready, ends bool) {
	t.Helper()
	if l.phase() != p || l.ready() != ready || l.closesAfterAnswer() != ends {
		t.Errorf("%s: %v, ready %v, ends connections %v; want %v, %v, %v", when, l.phase(), l.ready(),
			l.closesAfterAnswer(), p, ready, ends)
	}
}

// A drain says no at once, serves as before while the front takes notice, and then sends clients away for
// as long as it lasts.
func TestStandbySendsClientsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := 0
		l := lifecycle{closeIdle: func(time.Time) { closed++ }}
		defer l.stopDraining()
		l.want(t, "at the start", starting, false, false)
		l.markServersKnown()
		l.want(t, "with the servers known", active, true, false)
		l.enterStandby()
		l.want(t, "at once", standby, false, false)
		time.Sleep(standbyNotice - time.Millisecond)
		synctest.Wait()
		l.want(t, "while the front takes notice", standby, false, false)
		l.enterStandby() // said again, it starts nothing anew
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		l.want(t, "after that", standby, false, true)
		time.Sleep(10 * closeIdleInterval)
		synctest.Wait()
		if closed < 10 {
			t.Errorf("looked for quiet connections %d times in a second", closed)
		}
		if err := l.activate(); err != nil {
			t.Error(err)
		}
		l.want(t, "taken back", active, true, false)
		before := closed
		time.Sleep(10 * standbyNotice)
		synctest.Wait()
		l.want(t, "long after", active, true, false)
		if closed != before {
			t.Errorf("connections were still closed after the drain")
		}
	})
}

// A drain that is taken back early leaves nothing behind, and a second one takes its full time.
func TestStandbyTakenBackEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l lifecycle
		defer l.stopDraining()
		l.markServersKnown()
		l.enterStandby()
		time.Sleep(standbyNotice / 2)
		for range 2 { // it may be said twice
			if err := l.activate(); err != nil {
				t.Error(err)
			}
		}
		l.enterStandby()
		time.Sleep(3 * standbyNotice / 4) // the first one's time is up
		synctest.Wait()
		l.want(t, "in the second drain's notice", standby, false, false)
		time.Sleep(standbyNotice)
		synctest.Wait()
		l.want(t, "after it", standby, false, true)
	})
}

func TestEndGoesBeforeWhatOperatorsSay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l lifecycle
		defer l.stopDraining()
		l.markServersKnown()
		l.beginLeaving(time.Second)
		l.enterStandby()
		l.want(t, "told to stand by", leaving, false, false)
		if l.activate() == nil {
			t.Error("a process that ends takes no clients again")
		}
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		l.want(t, "after its notice", leaving, false, true)
		l.beginClosing()
		l.want(t, "last", closing, false, true)
	})
}

// Standby may be said before the servers are known, and holds then; so does its end.
func TestStandbyDuringTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l lifecycle
		defer l.stopDraining()
		l.enterStandby()
		if err := l.activate(); err != nil {
			t.Error(err)
		}
		l.want(t, "taken back", starting, false, false)
		l.enterStandby()
		l.markServersKnown()
		l.want(t, "with the servers known", standby, false, false)
		if err := l.activate(); err != nil {
			t.Error(err)
		}
		l.want(t, "taken back again", active, true, false)
	})
}

// A whole node in standby: what is here is served, its answer ends the connection, idle connections are
// closed, and who comes all the same is served too. Then it takes clients again.
func TestStandbyOnSockets(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	addr := httpServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") == "slow" {
			held <- struct{}{}
			<-hold
		}
	})
	node, operator := startWithAdmin(t, testConfig(t, knownList(addr)))
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
	if status := call(t, operator, "POST", "/standby"); status != 200 {
		t.Errorf("/standby: %d", status)
	}
	if status := call(t, operator, "GET", "/status"); status != 503 {
		t.Errorf("/status in standby: %d", status)
	}
	resp, err := http.Get("http://" + node + readyPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 503 {
		t.Errorf("ready in standby: %d", resp.StatusCode)
	}
	if n, err := idle.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("the idle connection: %d, %v; want its end", n, err)
	}
	if resp, _ := do(t, newRequest(t, node, "GET", "read", "late", "")); resp.StatusCode != 200 {
		t.Errorf("a client that still came: %d", resp.StatusCode)
	}
	close(hold)
	resp, err = http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the request that was open: %v, %v; want 200 and the connection's end", resp, err)
	}
	if status := call(t, operator, "POST", "/active"); status != 200 {
		t.Errorf("/active: %d", status)
	}
	if status := call(t, operator, "GET", "/status"); status != 200 {
		t.Errorf("/status afterwards: %d", status)
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
			t.Fatalf("after the drain: %v, %v", resp, err)
		}
	}
}

// A request that has come is never met by a close, not even where nobody has read it yet.
func TestUnreadRequestKeepsItsConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newClients(ln, 10)
	defer l.Close()
	var theirs [2]net.Conn
	var ours [2]net.Conn
	for i := range theirs {
		if theirs[i], err = net.Dial("tcp", ln.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer theirs[i].Close()
		if ours[i], err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		defer ours[i].Close()
	}
	if _, err := io.WriteString(theirs[0], "GET"); err != nil {
		t.Fatal(err)
	}
	await(t, "the bytes", func() bool { return !isIdle(ours[0].(*clientConn).TCPConn) })
	l.closeIdle(ours[0].(*clientConn).lastActive.Add(closeIdleAfter - 1)) // too early for both
	if l.openCount() != 2 {
		t.Errorf("%d connections left, want both", l.openCount())
	}
	l.closeIdle(time.Now().Add(2 * closeIdleAfter))
	if l.openCount() != 1 {
		t.Errorf("%d connections left, want the one with a request", l.openCount())
	}
	got := make([]byte, 8)
	if n, err := ours[0].Read(got); string(got[:n]) != "GET" || err != nil {
		t.Errorf("read %q, %v", got[:n], err)
	}
	l.closeIdle(time.Now().Add(2 * closeIdleAfter)) // half a head is a request too
	if l.openCount() != 1 {
		t.Error("a connection was closed under a request")
	}
}

// Clients that are sent away get the answers to all requests that have come, one behind another, and the
// last of them ends the connection.
func TestRequestsBehindOneAnotherAreServedBeforeTheEnd(t *testing.T) {
	requestsBehindOneAnother(t, 3)
}

// However many of them the node has read by then.
func TestAllThatWasReadIsAnsweredBeforeTheEnd(t *testing.T) {
	requestsBehindOneAnother(t, 30)
}

func requestsBehindOneAnother(t *testing.T, count int) {
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	addr := httpServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") == "r0" {
			held <- struct{}{}
			<-hold
		}
	})
	node, operator := startWithAdmin(t, testConfig(t, knownList(addr)))
	c, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var all bytes.Buffer
	for i := range count {
		if err := newRequest(t, node, "GET", "read", fmt.Sprint("r", i), "").Write(&all); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Write(all.Bytes()); err != nil {
		t.Fatal(err)
	}
	receive(t, "the first request", held)
	call(t, operator, "POST", "/standby")
	other, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if n, err := other.Read(make([]byte, 1)); n != 0 || err != io.EOF { // from then on connections end
		t.Errorf("an idle connection: %d, %v; want its end", n, err)
	}
	close(hold)
	in := bufio.NewReader(c)
	for i := range count {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 || resp.Close != (i == count-1) {
			t.Fatalf("answer %d: %v, %v", i, resp, err)
		}
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("behind the last answer: %v, want the end", err)
	}
}
