package policy

import (
	"math/bits"
	"time"
)

// Connections: detects idle connections that were dropped without notice.

const (
	minIdle       = 250 * time.Millisecond // a connection idle for less counts as in use
	idleLossGain  = 0.2                    // weight of one outcome in the fraction of lost sends, kept per octave of idle time
	maxIdleLoss   = 0.3                    // fraction of lost sends from which connections with that idle time are not reused,
	idleLossRatio = 3                      // if it is at least this multiple of the fraction for connections in use
	idleLossDecay = 0.98                   // factor on the fraction each time that it causes connections to be closed
)

// noteConnUse records that s has as many connections in use as attempts in flight.
func (s *server) noteConnUse(now Time) {
	for len(s.connLastUsed) < s.inFlight {
		s.connLastUsed = append(s.connLastUsed, now)
	}
	s.connLastUsed[s.inFlight-1] = now
}

// prepareConn returns how long the connection for the next send to s was idle, in octaves from minIdle; 0 for one in
// use or a new one. It guards against connections that something on the path dropped without notice: if sends on
// connections idle for as long are lost far more often than others, it closes the idle ones first, and the send opens a
// new one. The cost is extra handshakes until the measured fraction has decayed.
func (b *Balancer) prepareConn(s *server) int {
	if s.inFlight >= len(s.connLastUsed) {
		return 0
	}
	idle := b.now - s.connLastUsed[s.inFlight]
	if idle < minIdle || b.settings.Allowed.ConnIdle > 0 && idle >= b.settings.Allowed.ConnIdle {
		return 0
	}
	octave := min(len(b.lossByIdleTime)-1, bits.Len64(uint64(idle/minIdle)))
	if b.lossByIdleTime[octave] < maxIdleLoss || b.lossByIdleTime[octave] < idleLossRatio*b.lossByIdleTime[0] {
		return octave
	}
	b.lossByIdleTime[octave] *= idleLossDecay
	b.closeIdle(s)
	return 0
}

func (b *Balancer) closeIdle(s *server) {
	s.connLastUsed = s.connLastUsed[:min(len(s.connLastUsed), s.inFlight)]
	b.emit(Action{Kind: CloseIdle, Server: s.Server})
}

// recordIdleLoss updates the fraction of lost sends by one outcome. It reports whether the attempt was lost on a
// connection that had been idle: that may have been dropped, so the loss says nothing about the server.
func (b *Balancer) recordIdleLoss(a *attempt, lost bool) bool {
	updateAverage(&b.lossByIdleTime[a.idleOctave], idleLossGain, lost)
	lost = lost && a.idleOctave > 0
	if lost {
		b.closeIdle(a.server)
	}
	return lost
}
