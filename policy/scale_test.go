package policy

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// fleetSize is the size of the deployment that a node knows of.
type fleetSize struct{ services, servers, tenants, nodes int }

var smallFleet, largeFleet = fleetSize{10, 1024, 1000, 350}, fleetSize{1300, 39_000, 130_000, 2500}

func (z fleetSize) String() string {
	return fmt.Sprintf("%d-services-%d-servers-%d-nodes", z.services, z.servers, z.nodes)
}

// members returns the list of servers: one kind for each service, over 18 zones.
func (z fleetSize) members() []Member {
	var out []Member
	for i := range z.servers {
		out = append(out, Member{Server: fmt.Sprintf("transcriber-%05d", i), Zone: fmt.Sprint("z", i/7%18),
			Kind: fmt.Sprint("k", i%z.services), Weight: 1})
	}
	return out
}

func (z fleetSize) settings() Settings {
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

// scaleRun is a node in a fleet of a given size, with the full list, that handles one event after another.
type scaleRun struct {
	fleetSize
	balancer   *Balancer
	list       []Member
	now        Time
	eventCount int
}

func newScaleRun(t testing.TB, z fleetSize) *scaleRun {
	b, err := New(z.settings(), 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &scaleRun{fleetSize: z, balancer: b, list: z.members()}
	b.Handle(0, MemberList{Kind: ListReplace, Members: z.members()}) // a separate list, since a node gets new strings with each list
	return r
}

// changeEntry sends a list update with one changed entry: servers drain, come back and restart in turn.
func (r *scaleRun) changeEntry() {
	r.eventCount++
	r.now += ms
	m := &r.list[r.eventCount/3*7919%len(r.list)]
	switch r.eventCount % 3 {
	case 0:
		m.Availability = Draining
	case 1:
		m.Availability = Running
	case 2:
		m.OnlineSince = r.now
	}
	r.balancer.Handle(r.now, MemberList{Kind: ListUpdate, Members: []Member{*m}})
}

// replaceList sends the full list with one changed entry, alternately with and without its last server.
func (r *scaleRun) replaceList() {
	r.eventCount++
	r.now += ms
	m := &r.list[r.eventCount*7919%len(r.list)]
	m.Availability = Draining - m.Availability
	r.balancer.Handle(r.now, MemberList{Kind: ListReplace, Members: r.list[:len(r.list)-r.eventCount%2]})
}

// sendRequest sends one request and its outcome.
func (r *scaleRun) sendRequest(code Code) {
	r.eventCount++
	r.now += 50 * ms
	id := "r"
	acts := r.balancer.Handle(r.now, Request{ID: id, Class: fmt.Sprint("c", r.eventCount%r.services), ExpiresIn: 600 * ms,
		Tenant: fmt.Sprint("t", r.eventCount*31%r.tenants)})
	for _, a := range acts {
		if a.Kind == Send {
			r.balancer.Handle(r.now+5*ms, Outcome{ID: id, Server: a.Server, Code: code, Latency: 5 * ms, Ended: true})
		}
	}
	r.balancer.Handle(r.now+5*ms, ClientGone{ID: id})
}

// ejectServer lets a server fail until it is ejected, and then undoes the ejection.
func (r *scaleRun) ejectServer() {
	r.eventCount++
	s := r.balancer.servers[r.list[r.eventCount*7919%len(r.list)].Server]
	for range 5 {
		r.balancer.recordFailure(s, failWeight, ServerError)
	}
	if !s.health.ejected {
		panic("the server was not ejected")
	}
	r.balancer.setEjected(s, false)
	s.health = health{}
}

// scaleEvents are the measured events, with the most that the cost of each may grow from the small to the large fleet.
var scaleEvents = []struct {
	name     string
	maxRatio float64
	run      func(*scaleRun)
}{
	{"entry", 3, (*scaleRun).changeEntry},
	{"list", 100, (*scaleRun).replaceList},
	{"ejection", 3, (*scaleRun).ejectServer},
	{"request-ok", 3, func(r *scaleRun) { r.sendRequest(OK) }},
	{"request-failed", 3, func(r *scaleRun) { r.sendRequest(ServerError) }},
}

// The cost of an event grows with what it changes and with the servers of its service, not with the size of the fleet.
// The cost is the number of entries visited and of bytes allocated, since run times aren't reproducible.
func TestEventCostHardlyGrowsWithTheFleet(t *testing.T) {
	for _, e := range scaleEvents {
		var mean, bytes [2]float64
		var worst [2]int
		for i, z := range []fleetSize{smallFleet, largeFleet} {
			r := newScaleRun(t, z)
			runs := 3000
			if e.maxRatio > 3 {
				runs = 20
			}
			var statsBefore, statsAfter runtime.MemStats
			runtime.ReadMemStats(&statsBefore)
			visitsBefore := *r.balancer.visits
			for range runs {
				eventStart := *r.balancer.visits
				e.run(r)
				worst[i] = max(worst[i], *r.balancer.visits-eventStart)
			}
			mean[i] = float64(*r.balancer.visits-visitsBefore) / float64(runs)
			runtime.ReadMemStats(&statsAfter)
			bytes[i] = float64(statsAfter.TotalAlloc-statsBefore.TotalAlloc) / float64(runs)
		}
		t.Logf("%s: %.0f entries visited, at most %v, and %.0f bytes allocated", e.name, mean, worst, bytes)
		if mean[0] == 0 || mean[1] > e.maxRatio*mean[0] || float64(worst[1]) > e.maxRatio*float64(worst[0]) ||
			bytes[1] > e.maxRatio*max(1024, bytes[0]) { // maps and slices are reallocated now and then
			t.Errorf("%s: the cost grows to more than %v times", e.name, e.maxRatio)
		}
	}
}

func BenchmarkNode(b *testing.B) {
	for _, e := range scaleEvents {
		for _, z := range []fleetSize{smallFleet, largeFleet} {
			b.Run(e.name+"/"+z.String(), func(b *testing.B) {
				r := newScaleRun(b, z)
				for b.Loop() {
					e.run(r)
				}
			})
		}
	}
}
