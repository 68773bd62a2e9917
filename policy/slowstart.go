package policy

import (
	"math"
	"slices"
	"time"
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
// takes, and no more. It brings the server's budget up to now: between two looks, by the mean of the rates at both.
func (b *Balancer) coldRoom(s *server) bool {
	if b.ramp(s) >= 1 {
		return true
	}
	rate, _ := b.coldRate(s)
	k := &s.cold
	mean := rate
	if k.rate > 0 {
		mean = (k.rate + rate) / 2
	}
	most := max(1, rate*b.set.Rules.FallFor.Seconds()/4)
	k.tokens, k.last, k.rate = min(most, k.tokens+mean*(b.now-k.last).Seconds()), b.now, rate
	return k.tokens >= 1
}

// coldRate is how many requests a second a cold server may get from this process, and by how much that grows in a
// second. Without reports, this node's mean rate per server, summed over the nodes, stands for what a warm
// server takes.
func (b *Balancer) coldRate(s *server) (rate, growth float64) {
	mean := b.doneRate() / float64(max(1, b.fleet.len()))
	if rate, ok := b.rates[s.Kind]; ok {
		mean = rate / float64(b.set.Nodes)
	}
	mean = max(mean, coldFloor/float64(b.set.Nodes))
	whole := coldMargin * max(0.5, b.set.Rules.FallMultiple-1) * mean / float64(b.processes)
	rate, growth = whole*b.ramp(s), whole*(1-b.set.Rules.ColdShare)/b.set.Rules.ColdFor.Seconds()
	if s.takes > 0 {
		if most := coldUse * s.takes / float64(b.set.Nodes) / float64(b.processes); most < rate {
			return most, 0
		}
	}
	return rate, growth
}

// coldWait is how long it takes until the budget of a cold server allows a request, at the rate that there is now.
func (b *Balancer) coldWait(s *server) time.Duration {
	need := 1 - s.cold.tokens
	rate, growth := b.coldRate(s)
	slope := rate + math.Sqrt(rate*rate+2*growth*need) // of rate*t + growth*t^2/2 = need
	longest := b.set.Rules.ColdFor
	if slope <= 0 {
		return longest
	}
	return min(longest, max(time.Millisecond, seconds(min(2*need/slope, longest.Seconds()))))
}

// setProcesses follows how many processes this node has. Each cold server's budget is brought up to now at the old
// number before the new one counts.
func (b *Balancer) setProcesses(n int) {
	looked := slices.Clone(b.ring)
	for _, s := range looked {
		b.coldRoom(s)
	}
	b.processes = n
	for _, s := range looked {
		if s.cold.rate > 0 {
			s.cold.rate, _ = b.coldRate(s)
		}
		b.refresh(s)
	}
}
