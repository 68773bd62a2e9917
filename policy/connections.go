package policy

import (
	"math/bits"
	"time"
)

// Connections: detects idle connections that were dropped without notice.

const (
	minIdle       = 250 * time.Millisecond // a connection idle for less counts as in use
	idleGain      = 0.2                    // weight of one outcome in the fraction of unanswered sends
	idleMaxLoss   = 0.3                    // that fraction, from which connections idle for as long are not reused,
	idleLossRatio = 3                      // if it is at least this multiple of that of connections in use
	idleLossDecay = 0.98                   // factor on that fraction each time that connections are closed for it
)

// noteConnUse records that s has as many connections in use as attempts in flight.
func (s *server) noteConnUse(now Time) {
	for len(s.connLastUsed) < s.inflight {
		s.connLastUsed = append(s.connLastUsed, now)
	}
	s.connLastUsed[s.inflight-1] = now
}

// prepareConn returns how long the connection for the next send to s was idle, in octaves from minIdle; 0 for one in
// use or a new one. It guards against connections that something on the path dropped without notice: if sends on those
// idle for as long go unanswered far more often than others, it closes them first, and the send opens a new one. The
// cost is extra handshakes until the measured fraction has decayed.
func (b *Balancer) prepareConn(s *server) int {
	if s.inflight >= len(s.connLastUsed) {
		return 0
	}
	idle := b.now - s.connLastUsed[s.inflight]
	if idle < minIdle || b.settings.Allowed.ConnIdle > 0 && idle >= b.settings.Allowed.ConnIdle {
		return 0
	}
	octave := min(len(b.unansweredByIdle)-1, bits.Len64(uint64(idle/minIdle)))
	if b.unansweredByIdle[octave] < idleMaxLoss || b.unansweredByIdle[octave] < idleLossRatio*b.unansweredByIdle[0] {
		return octave
	}
	b.unansweredByIdle[octave] *= idleLossDecay
	b.closeIdle(s)
	return 0
}

func (b *Balancer) closeIdle(s *server) {
	s.connLastUsed = s.connLastUsed[:min(len(s.connLastUsed), s.inflight)]
	b.emit(Action{Kind: CloseIdle, Server: s.Server})
}

// recordIdleLoss learns from an outcome. It reports whether the loss says nothing about the server, since the attempt
// was sent on a connection that was idle and may have been dropped.
func (b *Balancer) recordIdleLoss(a *attempt, lost bool) bool {
	updateAverage(&b.unansweredByIdle[a.idleOctave], idleGain, lost)
	lost = lost && a.idleOctave > 0
	if lost {
		b.closeIdle(a.server)
	}
	return lost
}
