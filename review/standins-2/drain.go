package main

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { cases["upgrade-drain"] = upgradeDrain }

// upgradeDrain: operators drain a node while a new version of it starts.
func upgradeDrain(b *bench) {
	t := b.startTranscriber("s-01")
	t.serve()
	list := []member{up(t.name, t.addr(), 0)}
	discovery := b.startRegistry(list)
	addr, held := b.holdListener()
	old := b.startProcess("n1", defaults(), discovery.addr(), list, addr, held)
	old.awaitReady()
	time.Sleep(2 * time.Second)
	var called time.Time
	drain := func() {
		called = time.Now()
		status := post("http://" + old.admin + "/standby")
		b.note("operator: POST /standby to the old process: %d", status)
		if status != http.StatusOK {
			b.fail("the drain was refused: %d", status)
		}
	}
	if !b.trouble { // the drain is done before the upgrade begins
		drain()
		time.Sleep(time.Second)
	}
	successor := b.startProcess("n1", defaults(), discovery.addr(), list, addr, held)
	b.note("platform: the new process is started")
	began := time.Now()
	for successor.status() == 0 { // until it answers its operators at all
		time.Sleep(time.Millisecond)
		if time.Since(began) > 6*time.Second {
			b.fail("the new process did not answer")
		}
	}
	if b.trouble {
		drain()
	}
	// A drained node never says yes; the platform goes on when the new process has said so, or else after 2 s.
	for successor.status() != http.StatusOK && time.Since(began) < 2*time.Second {
		time.Sleep(time.Millisecond)
	}
	b.note("platform: the new process says %d after %.3f s", successor.status(), time.Since(began).Seconds())
	old.signal(syscall.SIGTERM)
	select {
	case <-old.ended:
	case <-time.After(3700 * time.Millisecond):
		old.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Until(called.Add(4*time.Second + socketSlack)))
	yes := 0
	for range 20 {
		front := ready(addr)
		b.note("front: GET /health/ready: %d, %.2f s after the drain", front, time.Since(called).Seconds())
		if front == http.StatusOK {
			yes++
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.finish(yes, "yes of a node more than 4 s after its drain was confirmed")
}

// holdListener opens a clients' listening socket that the platform keeps.
func (b *bench) holdListener() (addr string, held *os.File) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		held, err = ln.(*net.TCPListener).File()
	}
	if err != nil {
		b.fail("%v", err)
	}
	addr = ln.Addr().String()
	ln.Close()
	return addr, held
}

func post(url string) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post(url, "", nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// ready asks as the front does.
func ready(addr string) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + addr + "/health/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
