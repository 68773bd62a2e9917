package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func testEntry(id, phase string) Entry {
	return Entry{ID: id, HostPort: "127.64.0.1:1", Locality: "z01", Flavor: "k", Phase: phase, Size: 1}
}

// newTestRegistry returns a registry and one endpoint without sockets.
func newTestRegistry(t *testing.T, plan DiscoveryLimits, members ...Entry) (*Registry, *registryEndpoint) {
	t.Helper()
	r, err := newRegistry(RegistryConfig{Listeners: 1, Limits: plan, Members: members})
	if err != nil {
		t.Fatal(err)
	}
	return r, r.addEndpoint("")
}

// callRegistry calls the handler directly and returns the status code and the list.
func callRegistry(ep *registryEndpoint, query string) (int, memberList) {
	rec := httptest.NewRecorder()
	ep.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/registry/instances"+query, nil))
	var l memberList
	if rec.Code == http.StatusOK {
		if err := json.Unmarshal(rec.Body.Bytes(), &l); err != nil {
			panic(err)
		}
	}
	return rec.Code, l
}

func TestRegistryWholeListJSON(t *testing.T) {
	_, ep := newTestRegistry(t, DiscoveryLimits{}, Entry{ID: "s-1", HostPort: "127.64.0.1:1", Locality: "z01", Flavor: "k-0001",
		Cell: 3, Phase: "up", Size: 1, UpSinceMS: 7})
	rec := httptest.NewRecorder()
	ep.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/registry/instances", nil))
	const want = `{"revision":1,"complete":true,"members":[{"id":"s-1","host_port":"127.64.0.1:1","locality":"z01",` +
		`"flavor":"k-0001","cell":3,"phase":"up","size":1,"up_since_ms":7}]}`
	if got := rec.Body.String(); rec.Code != http.StatusOK || got != want {
		t.Errorf("want %s, got %d %s", want, rec.Code, got)
	}
}

func TestRegistryWatchReturnsLatestChanges(t *testing.T) {
	r, ep := newTestRegistry(t, DiscoveryLimits{}, testEntry("a", "up"), testEntry("b", "up"), testEntry("c", "up"))
	r.Change([]Entry{testEntry("a", "draining")})                      // 2
	r.Change([]Entry{testEntry("b", "removed"), testEntry("d", "up")}) // 3
	if rev, _ := r.Change([]Entry{testEntry("a", "up")}); rev != 4 {   // 4
		t.Fatalf("revision %d", rev)
	}
	for _, c := range []struct {
		query string
		want  memberList
	}{
		{"?index=1", memberList{4, false, []Entry{testEntry("b", "removed"), testEntry("d", "up"), testEntry("a", "up")}}},
		{"?index=3&wait=20000", memberList{4, false, []Entry{testEntry("a", "up")}}},
		{"?index=4", memberList{4, false, []Entry{}}},
		{"", memberList{4, true, []Entry{testEntry("a", "up"), testEntry("c", "up"), testEntry("d", "up")}}},
		{"?index=5&wait=9", memberList{4, true, []Entry{testEntry("a", "up"), testEntry("c", "up"), testEntry("d", "up")}}},
		{"?index=0&wait=9", memberList{4, true, []Entry{testEntry("a", "up"), testEntry("c", "up"), testEntry("d", "up")}}},
	} {
		if code, got := callRegistry(ep, c.query); code != http.StatusOK || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%q: want %v, got %d %v", c.query, c.want, code, got)
		}
	}
	got, want := r.Stats()[0], RegistryStats{WatchCalls: 5, FullListCalls: 1, Deltas: 2, EmptyDeltas: 1, FullLists: 3}
	want.DeltaBytes, want.FullListBytes = got.DeltaBytes, got.FullListBytes
	if got != want || got.DeltaBytes == 0 || got.FullListBytes == 0 {
		t.Errorf("want %+v, got %+v", want, got)
	}
}

func TestRegistryWatchOlderThanLogReturnsWholeList(t *testing.T) {
	r, ep := newTestRegistry(t, DiscoveryLimits{}, testEntry("a", "up"))
	for range maxLogEntries {
		r.Change([]Entry{testEntry("a", "up"), testEntry("b", "up")}) // two entries each: the log keeps half of the revisions
	}
	last := int64(1 + maxLogEntries)
	for _, c := range []struct {
		index int64
		whole bool
	}{{1, true}, {last - maxLogEntries/2 - 1, true}, {last - maxLogEntries/2, false}, {last - 1, false}} {
		if _, got := callRegistry(ep, fmt.Sprintf("?index=%d", c.index)); got.Complete != c.whole || len(got.Members) != 2 {
			t.Errorf("%d: %v", c.index, got)
		}
	}
	if len(r.list.log) > maxLogEntries {
		t.Errorf("the log has %d entries", len(r.list.log))
	}
	var many []Entry
	for i := range maxLogEntries + 1 {
		many = append(many, testEntry(fmt.Sprint("m", i), "up"))
	}
	r.Change(many)
	if _, got := callRegistry(ep, fmt.Sprintf("?index=%d", last)); !got.Complete || len(got.Members) != 2+len(many) {
		t.Errorf("after a change larger than the log: complete %t, %d members", got.Complete, len(got.Members))
	}
	r.Change([]Entry{testEntry("a", "up")})
	if _, got := callRegistry(ep, fmt.Sprintf("?index=%d", last+1)); got.Complete || len(got.Members) != 1 {
		t.Errorf("after the next change: complete %t, %d members", got.Complete, len(got.Members))
	}
}

func TestRegistryRejectsInvalidCalls(t *testing.T) {
	_, ep := newTestRegistry(t, DiscoveryLimits{}, testEntry("a", "up"))
	for query, want := range map[string]int{"?index=x": 400, "?index=": 400, "?index=1&wait=-1": 400, "?index=1&wait=x": 400} {
		if code, _ := callRegistry(ep, query); code != want {
			t.Errorf("%q: %d", query, code)
		}
	}
	for _, req := range []*http.Request{httptest.NewRequest(http.MethodGet, "/other", nil),
		httptest.NewRequest(http.MethodPost, "/registry/instances", nil)} {
		rec := httptest.NewRecorder()
		ep.ServeHTTP(rec, req)
		if rec.Code != http.StatusNotFound {
			t.Errorf("%s %s: %d", req.Method, req.URL, rec.Code)
		}
	}
	if _, err := StartRegistry(RegistryConfig{}); err == nil {
		t.Error("a configuration without listeners was accepted")
	}
}

func TestRegistryWatchWaitsForChangeOrTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, ep := newTestRegistry(t, DiscoveryLimits{}, testEntry("a", "up"))
		start := time.Now()
		if _, got := callRegistry(ep, "?index=1&wait=20000"); time.Since(start) != 20*time.Second || got.Complete || len(got.Members) != 0 {
			t.Errorf("after %v: %v", time.Since(start), got)
		}
		start = time.Now()
		if callRegistry(ep, "?index=1&wait=4000000"); time.Since(start) != time.Minute {
			t.Errorf("the capped wait took %v", time.Since(start))
		}
		start = time.Now()
		var calls sync.WaitGroup
		for range 100 {
			calls.Go(func() {
				if _, got := callRegistry(ep, "?index=1&wait=20000"); time.Since(start) != 3*time.Second || got.Revision != 2 || len(got.Members) != 1 {
					t.Errorf("after %v: %v", time.Since(start), got)
				}
			})
		}
		time.Sleep(3 * time.Second)
		if rev, visibleAt := r.Change([]Entry{testEntry("a", "draining")}); rev != 2 || !visibleAt.Equal(time.Now()) {
			t.Errorf("revision %d at %v", rev, visibleAt)
		}
		calls.Wait()
		if len(r.list.cachedDeltas) != 1 {
			t.Errorf("%d deltas were encoded, want 1", len(r.list.cachedDeltas))
		}
	})
}

func TestRegistryQueuesCallsAndRejectsLateOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := DiscoveryLimits{CallsPerSecond: 10, QueueLimit: Duration{250 * time.Millisecond}}
		r, ep := newTestRegistry(t, plan, testEntry("a", "up"))
		start := time.Now()
		codes := make(chan string, 9)
		for range 5 { // turns start at 0, 100, 200 and 300 ms; waiting until 300 ms exceeds the limit
			go func() {
				code, _ := callRegistry(ep, "")
				codes <- fmt.Sprint(code, " ", time.Since(start))
			}()
		}
		got := map[string]int{}
		for range 5 {
			got[<-codes]++
		}
		want := map[string]int{"200 100ms": 1, "200 200ms": 1, "200 300ms": 1, "503 250ms": 2}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("want %v, got %v", want, got)
		}
		if s := r.Stats()[0]; s.Failures != 2 || s.FullLists != 3 || s.FullListCalls != 5 {
			t.Errorf("got %+v", s)
		}
		// A waiting watch does not occupy the queue.
		start = time.Now()
		watchDone := make(chan struct{})
		go func() {
			callRegistry(ep, "?index=1&wait=5000")
			close(watchDone)
		}()
		time.Sleep(time.Second)
		if code, _ := callRegistry(ep, ""); code != 200 || time.Since(start) != 1100*time.Millisecond {
			t.Errorf("%d after %v", code, time.Since(start))
		}
		<-watchDone
	})
}

func TestRegistrySilenceDelaysResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, ep := newTestRegistry(t, DiscoveryLimits{}, testEntry("a", "up"))
		start := time.Now()
		var calls sync.WaitGroup
		for _, query := range []string{"", "?index=1&wait=20000", "?index=1&wait=1000", "?index=9"} {
			calls.Go(func() {
				time.Sleep(500 * time.Millisecond) // these calls arrive during the silence
				if code, got := callRegistry(ep, query); time.Since(start) != 6*time.Second || got.Revision != 2 {
					t.Errorf("%q: %d %v after %v", query, code, got, time.Since(start))
				}
			})
		}
		calls.Go(func() {
			if _, got := callRegistry(ep, "?index=1&wait=20000"); time.Since(start) != 6*time.Second || got.Revision != 2 {
				t.Errorf("the watch opened before the silence: %v after %v", got, time.Since(start))
			}
		})
		time.Sleep(250 * time.Millisecond)
		r.Silence(time.Second)
		r.Silence(5750 * time.Millisecond) // the longer duration wins
		r.Silence(time.Millisecond)
		time.Sleep(time.Second)
		if _, visibleAt := r.Change([]Entry{testEntry("a", "draining")}); visibleAt.Sub(start) != 6*time.Second {
			t.Errorf("visible after %v", visibleAt.Sub(start))
		}
		calls.Wait()
		if code, _ := callRegistry(ep, ""); code != 200 || time.Since(start) != 6*time.Second {
			t.Errorf("%d after %v", code, time.Since(start))
		}
	})
}

func TestRegistryCallEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newTestRegistry(t, DiscoveryLimits{CallsPerSecond: 1}, testEntry("a", "up"))
		for _, silence := range []time.Duration{0, time.Minute} {
			r.Silence(silence)
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			start := time.Now()
			if _, err := r.respond(ctx, true, 1, time.Minute); !errors.Is(err, context.DeadlineExceeded) || time.Since(start) != 1500*time.Millisecond {
				t.Errorf("%v after %v", err, time.Since(start))
			}
			cancel()
		}
		time.Sleep(2 * time.Minute)
	})
}

// startRegistry starts a registry on loopback sockets with the members of a small world.
func startRegistry(t *testing.T, listeners int) *Registry {
	t.Helper()
	r, err := StartRegistry(RegistryConfig{Listeners: listeners, Members: NewWorld(testStep, 1, 1).Members()})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func fetchList(client *http.Client, addr, query string) (list memberList, err error) {
	resp, err := client.Get("http://" + addr + "/registry/instances" + query)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return list, err
	}
	return list, json.Unmarshal(raw, &list)
}

func TestRegistryStatsPerListenerAndClose(t *testing.T) {
	defer goleak.VerifyNone(t)
	r := startRegistry(t, 2)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	addrs := r.Addresses()
	for range 2 {
		if l, err := fetchList(client, addrs[1], ""); err != nil || len(l.Members) != 43 {
			t.Fatalf("%v, %v", l, err)
		}
	}
	s := r.Stats()
	if s[0] != (RegistryStats{}) || s[1].Connections != 1 || s[1].Open != 1 || s[1].FullLists != 2 ||
		s[1].BytesOut <= s[1].FullListBytes || s[1].BytesIn == 0 {
		t.Errorf("got %+v", s)
	}
	ended := make(chan error)
	go func() {
		_, err := fetchList(client, addrs[0], "?index=1&wait=60000")
		ended <- err
	}()
	waitUntil(t, "the watch", func() bool { return r.Stats()[0].WatchCalls == 1 })
	r.Silence(time.Hour)
	r.Close()
	if err := <-ended; err == nil {
		t.Error("the watch got a response after Close")
	}
	if s := r.Stats(); s[0].Open != 0 || s[1].Open != 0 {
		t.Errorf("got %+v", s)
	}
	r.Change(nil) // a change after Close must not panic, nor a second Close
	r.Close()
}

func TestRegistryTakeDownResetsAndRefuses(t *testing.T) {
	defer goleak.VerifyNone(t)
	r := startRegistry(t, 2)
	defer r.Close()
	var conns []net.Conn
	for _, addr := range r.Addresses() {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "GET /registry/instances?index=1&wait=60000 HTTP/1.1\r\nHost: d\r\n\r\n")
		conns = append(conns, c)
	}
	for i := range conns {
		waitUntil(t, "the watch", func() bool { return r.Stats()[i].WatchCalls == 1 })
	}
	before := time.Now()
	r.TakeDown(time.Hour)
	for i, c := range conns {
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read: %v", err)
		}
		if _, err := net.Dial("tcp", r.Addresses()[i]); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dial: %v", err)
		}
		waitUntil(t, "the failed call", func() bool { return r.Stats()[i].Failures == 1 })
	}
	if _, visibleAt := r.Change(nil); visibleAt.Before(before.Add(time.Hour)) {
		t.Errorf("visible at %v", visibleAt)
	}
}

func TestRegistryTakeDownReopensSamePorts(t *testing.T) {
	defer goleak.VerifyNone(t)
	r := startRegistry(t, 2)
	defer r.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range 3 {
		r.TakeDown(time.Microsecond)
		for _, addr := range r.Addresses() {
			waitUntil(t, "a response", func() bool {
				l, err := fetchList(client, addr, "")
				return err == nil && len(l.Members) == 43
			})
		}
	}
}

// waitUntil polls until the condition holds. The generous timeout only ends a test that fails anyway.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}
