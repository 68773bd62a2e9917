package policy

import (
	"slices"
)

// Slow start: each node's part of a cold server's budget.

const (
	coldMargin = 0.7 // of the multiple beyond one: that one is left to chance, heavy work and unequal servers
	coldFloor  = 1.0 // requests a second by all nodes to a cold server when nothing is known yet
	coldTells  = 0.5 // part of its cores in use from which a report tells what a cold server takes by now,
	coldUse    = 0.9 // and the part of that it gets at most
	rateGain   = 0.1 // weight of one report in what a kind of server takes
)

// ramp is the part of its capacity that s has at least, or 1 once it is warm.
func (b *Balancer) ramp(s *server) float64 {
	age := b.now - s.OnlineSince
	if s.OnlineSince <= 0 || b.set.Rules.ColdFor <= 0 || age >= b.set.Rules.ColdFor {
		return 1
	}
	share := b.set.Rules.ColdShare
	return share + (1-share)*max(0, age.Seconds())/b.set.Rules.ColdFor.Seconds()
}

// report follows what a warm server of each kind serves for all nodes, as its load reports tell.
func (b *Balancer) report(s *server, figures []float64) {
	if b.ramp(s) < 1 {
		i, j := slices.Index(b.set.Report, "util"), slices.Index(b.set.Report, "qps")
		if i >= 0 && j >= 0 && max(i, j) < len(figures) && figures[i] >= coldTells {
			s.takes = figures[j] / figures[i]
		}
		return
	}
	if i := slices.Index(b.set.Report, "util"); i >= 0 && i < len(figures) {
		b.busy += busyGain * (figures[i] - b.busy)
	}
	if i := slices.Index(b.set.Report, "qps"); i >= 0 && i < len(figures) {
		rate, ok := b.rates[s.Kind]
		if !ok {
			rate = figures[i]
		}
		b.rates[s.Kind] = rate + rateGain*(figures[i]-rate)
	}
}

// coldRoom guards the fourth rule. A cold server may get its present part of what a warm one of its kind
// takes, and no more. Without reports, this node's mean rate per server, summed over the nodes, stands
// for that.
func (b *Balancer) coldRoom(s *server) bool {
	part := b.ramp(s)
	if part >= 1 {
		return true
	}
	mean := b.doneRate() / float64(max(1, b.fleet.len()))
	if rate, ok := b.rates[s.Kind]; ok {
		mean = rate / float64(b.set.Nodes)
	}
	mean = max(mean, coldFloor/float64(b.set.Nodes))
	rate := coldMargin * max(0.5, b.set.Rules.FallMultiple-1) * part * mean
	if s.takes > 0 {
		rate = min(rate, coldUse*s.takes/float64(b.set.Nodes))
	}
	rate /= float64(b.processes)
	k := &s.cold
	most := max(1, rate*b.set.Rules.FallFor.Seconds()/4)
	k.tokens, k.last = min(most, k.tokens+rate*(b.now-k.last).Seconds()), b.now
	return k.tokens >= 1
}
