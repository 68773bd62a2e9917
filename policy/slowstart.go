package policy

import (
	"math"
	"slices"
	"time"
)

// Slow start: each node's share of a cold server's budget.

const (
	coldMargin       = 0.7 // fraction of OverloadMultiple-1 used; the 1 is a margin for chance, heavy requests, unequal servers
	minWarmRate      = 1.0 // least rate that a warm server is assumed to serve, in requests a second from all nodes
	coldReportMinUse = 0.5 // fraction of its cores in use from which a cold server's report shows its capacity,
	maxColdUse       = 0.9 // and the fraction of that capacity it is sent at most
	rateGain         = 0.1 // weight of one report in warmRates
)

// rampFraction returns the fraction of its full capacity that s has at least by now; 1 once it is warm.
func (b *Balancer) rampFraction(s *server) float64 {
	age := b.now - s.OnlineSince
	if s.OnlineSince <= 0 || b.settings.Rules.ColdFor <= 0 || age >= b.settings.Rules.ColdFor {
		return 1
	}
	share := b.settings.Rules.ColdShare
	return share + (1-share)*max(0, age.Seconds())/b.settings.Rules.ColdFor.Seconds()
}

// recordLoadReport updates the core use and, for each kind of server, the rate that a warm one serves for all nodes.
// Of a cold server it records the present capacity.
func (b *Balancer) recordLoadReport(s *server, values []float64) {
	if b.rampFraction(s) < 1 {
		utilIndex, qpsIndex := slices.Index(b.settings.Report, "util"), slices.Index(b.settings.Report, "qps")
		if utilIndex >= 0 && qpsIndex >= 0 && max(utilIndex, qpsIndex) < len(values) && values[utilIndex] >= coldReportMinUse {
			s.coldCapacity = values[qpsIndex] / values[utilIndex]
		}
		return
	}
	if utilIndex := slices.Index(b.settings.Report, "util"); utilIndex >= 0 && utilIndex < len(values) {
		b.coreUse += coreUseGain * (values[utilIndex] - b.coreUse)
	}
	if qpsIndex := slices.Index(b.settings.Report, "qps"); qpsIndex >= 0 && qpsIndex < len(values) {
		updateRate(b.warmRates, s.Kind, values[qpsIndex])
		updateRate(b.warmSizeRates, s.Kind, values[qpsIndex]/s.size)
	}
}

// updateRate adds a sample to the mean rate of a kind.
func updateRate(rates map[string]float64, kind string, sample float64) {
	rate, ok := rates[kind]
	if !ok {
		rate = sample
	}
	rates[kind] = rate + rateGain*(sample-rate)
}

// coldBudgetAllows enforces rule 4 (safe fail-back): a cold server gets at most its current fraction of what a warm one
// of its kind serves. It first brings the server's budget up to date, at the mean of the rates at this check and the
// last one.
func (b *Balancer) coldBudgetAllows(s *server) bool {
	if b.rampFraction(s) >= 1 {
		return true
	}
	rate, _ := b.coldRate(s)
	budget := &s.cold
	mean := rate
	if budget.rate > 0 {
		mean = (budget.rate + rate) / 2
	}
	maxTokens := max(1, rate*b.settings.Rules.OverloadFor.Seconds()/4)
	budget.tokens, budget.lastRefill, budget.rate = min(maxTokens, budget.tokens+mean*(b.now-budget.lastRefill).Seconds()), b.now, rate
	return budget.tokens >= 1
}

// warmRate returns this node's part, in requests a second, of what a warm server of the size of s serves: that of the mean
// server of its kind, from load reports, or else this node's mean rate per server. A server smaller than the mean gets as
// much less; for a larger one the list's size is not relied on.
func (b *Balancer) warmRate(s *server) float64 {
	if rate, ok := b.warmRates[s.Kind]; ok {
		if sizeRate, ok := b.warmSizeRates[s.Kind]; ok {
			rate = min(rate, sizeRate*s.size)
		}
		return rate / float64(b.settings.Nodes)
	}
	rate := b.answerRate()
	if b.fleet.len() == 0 {
		return rate
	}
	return min(rate/float64(b.fleet.len()), rate*s.size/b.totalSize)
}

// coldRate returns the rate, in requests a second, at which this process may send to a cold server, and by how much it
// grows in a second.
func (b *Balancer) coldRate(s *server) (rate, growth float64) {
	mean := max(b.warmRate(s), minWarmRate/float64(b.settings.Nodes))
	fullRate := coldMargin * max(0.5, b.settings.Rules.OverloadMultiple-1) * mean / float64(b.processCount)
	rate, growth = fullRate*b.rampFraction(s), fullRate*(1-b.settings.Rules.ColdShare)/b.settings.Rules.ColdFor.Seconds()
	if s.coldCapacity > 0 {
		if maxRate := maxColdUse * s.coldCapacity / float64(b.settings.Nodes) / float64(b.processCount); maxRate < rate {
			return maxRate, 0
		}
	}
	return rate, growth
}

// coldWait returns how long it takes until the budget of a cold server allows a request, by present rate and growth.
func (b *Balancer) coldWait(s *server) time.Duration {
	need := 1 - s.cold.tokens
	rate, growth := b.coldRate(s)
	slope := rate + math.Sqrt(rate*rate+2*growth*need) // solves rate*t + growth*t^2/2 = need
	maxWait := b.settings.Rules.ColdFor
	if slope <= 0 {
		return maxWait
	}
	return min(maxWait, max(time.Millisecond, seconds(min(2*need/slope, maxWait.Seconds()))))
}

// setProcessCount sets how many processes this node has. Each cold server's budget is first brought up to date with the
// old number.
func (b *Balancer) setProcessCount(n int) {
	servers := slices.Clone(b.rotation) // includes all cold servers in service
	for _, s := range servers {
		b.coldBudgetAllows(s)
	}
	b.processCount = n
	for _, s := range servers {
		if s.cold.rate > 0 {
			s.cold.rate, _ = b.coldRate(s)
		}
		b.updateStatus(s)
	}
}
