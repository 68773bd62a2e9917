package policy

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// size is how much a node has to know of.
type size struct{ services, servers, tenants, nodes int }

var small, large = size{10, 1024, 1000, 350}, size{1300, 39_000, 130_000, 2500}

func (z size) String() string {
	return fmt.Sprintf("%d-services-%d-servers-%d-nodes", z.services, z.servers, z.nodes)
}

// list binds every service to a kind of its own, over 18 zones.
func (z size) list() []Member {
	var out []Member
	for i := range z.servers {
		out = append(out, Member{Server: fmt.Sprintf("transcriber-%05d", i), Zone: fmt.Sprint("z", i/7%18),
			Kind: fmt.Sprint("k", i%z.services), Weight: 1})
	}
	return out
}

func (z size) settings() Settings {
	set := Settings{Node: z.nodes / 3, Nodes: z.nodes, Zone: "z4", Report: []string{"util", "qps"},
		Allowed: Allowed{Cancel: true, Hedge: true, MaxAttempts: 3},
		Rules:   Rules{DrainGrace: time.Second, ColdShare: 0.2, ColdFor: 10 * time.Second, OverloadMultiple: 3, OverloadFor: 2 * time.Second}}
	for i := range z.services {
		set.Classes = append(set.Classes, Class{Name: fmt.Sprint("c", i), Aim: 250 * ms, Deadline: 600 * ms,
			Repeat: Free, Kinds: []string{fmt.Sprint("k", i)}})
	}
	for i := range z.tenants {
		set.Tenants = append(set.Tenants, Tenant{Name: fmt.Sprint("t", i), Quota: 1e6})
	}
	return set
}

// bigNode is a node of a size, with its whole list, that is sent one thing after the other.
type bigNode struct {
	size
	b    *Balancer
	list []Member
	now  Time
	n    int
}

func newBigNode(t testing.TB, z size) *bigNode {
	b, err := New(z.settings(), 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	f := &bigNode{size: z, b: b, list: z.list()}
	b.Handle(0, MemberList{Kind: ListReplace, Members: z.list()}) // each list comes in strings of its own
	return f
}

// entry changes one entry of the list: servers in turn drain, come back and start anew.
func (f *bigNode) entry() {
	f.n++
	f.now += ms
	m := &f.list[f.n/3*7919%len(f.list)]
	switch f.n % 3 {
	case 0:
		m.Availability = Draining
	case 1:
		m.Availability = Running
	case 2:
		m.OnlineSince = f.now
	}
	f.b.Handle(f.now, MemberList{Kind: ListUpdate, Members: []Member{*m}})
}

// whole sends the whole list with one change in it, in turn with and without its last server.
func (f *bigNode) whole() {
	f.n++
	f.now += ms
	m := &f.list[f.n*7919%len(f.list)]
	m.Availability = Draining - m.Availability
	f.b.Handle(f.now, MemberList{Kind: ListReplace, Members: f.list[:len(f.list)-f.n%2]})
}

// request sends one request and its outcome.
func (f *bigNode) request(code Code) {
	f.n++
	f.now += 50 * ms
	id := "r"
	acts := f.b.Handle(f.now, Request{ID: id, Class: fmt.Sprint("c", f.n%f.services), ExpiresIn: 600 * ms,
		Tenant: fmt.Sprint("t", f.n*31%f.tenants)})
	for _, a := range acts {
		if a.Kind == Send {
			f.b.Handle(f.now+5*ms, Outcome{ID: id, Server: a.Server, Code: code, Latency: 5 * ms, Ended: true})
		}
	}
	f.b.Handle(f.now+5*ms, ClientGone{ID: id})
}

// ejection has a server fail until it is ejected, and takes it back.
func (f *bigNode) ejection() {
	f.n++
	s := f.b.servers[f.list[f.n*7919%len(f.list)].Server]
	for range 5 {
		f.b.recordFailure(s, failWeight, ServerError)
	}
	if !s.health.ejected {
		panic("not ejected")
	}
	f.b.setEjected(s, false)
	s.health = health{}
}

// events are what a node is sent, and how many times as much each may cost at the large size.
var events = []struct {
	name string
	most float64
	do   func(*bigNode)
}{
	{"entry", 3, (*bigNode).entry},
	{"list", 100, (*bigNode).whole},
	{"ejection", 3, (*bigNode).ejection},
	{"request-ok", 3, func(f *bigNode) { f.request(OK) }},
	{"request-failed", 3, func(f *bigNode) { f.request(ServerError) }},
}

// What an event costs grows with what it changes and with the servers of its service, not with what the
// node knows of. Entries looked at are counted, and bytes allocated, for times are not the same twice.
func TestCostsHardlyGrowWithTheFleet(t *testing.T) {
	for _, e := range events {
		var mean, bytes [2]float64
		var worst [2]int
		for i, z := range []size{small, large} {
			f := newBigNode(t, z)
			runs := 3000
			if e.most > 3 {
				runs = 20
			}
			var was, is runtime.MemStats
			runtime.ReadMemStats(&was)
			before := *f.b.visits
			for range runs {
				one := *f.b.visits
				e.do(f)
				worst[i] = max(worst[i], *f.b.visits-one)
			}
			mean[i] = float64(*f.b.visits-before) / float64(runs)
			runtime.ReadMemStats(&is)
			bytes[i] = float64(is.TotalAlloc-was.TotalAlloc) / float64(runs)
		}
		t.Logf("%s: %.0f entries looked at, at most %v, and %.0f bytes allocated", e.name, mean, worst, bytes)
		if mean[0] == 0 || mean[1] > e.most*mean[0] || float64(worst[1]) > e.most*float64(worst[0]) ||
			bytes[1] > e.most*max(1024, bytes[0]) { // tables grow now and then
			t.Errorf("%s: grows more than %v times", e.name, e.most)
		}
	}
}

func BenchmarkNode(b *testing.B) {
	for _, e := range events {
		for _, z := range []size{small, large} {
			b.Run(e.name+"/"+z.String(), func(b *testing.B) {
				f := newBigNode(b, z)
				for b.Loop() {
					e.do(f)
				}
			})
		}
	}
}
