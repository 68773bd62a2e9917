package node

import (
	"context"
	"log/slog"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

func (l *loop) listed(ctx context.Context, heard heardNews) {
	n := heard.News
	if n.Kind != policy.ListUnavailable {
		l.up.follow(heard)
		l.noteLeaving(n, l.keep(n))
		l.noteServers()
	}
	members := make([]policy.Member, len(n.Members))
	for i, m := range n.Members {
		members[i] = m.Member
		if m.Availability != policy.Removed {
			members[i].OnlineSince = l.starts.of(m.Server, m.UpSince)
		}
	}
	began := l.clock.now()
	l.tell(ctx, policy.MemberList{Kind: n.Kind, Members: members})
	l.noteInForce(n, began)
	if !heard.heard.IsZero() && n.Kind != policy.ListUnavailable {
		l.metrics.listDelay.Observe(time.Since(heard.heard).Seconds())
	}
}

// noteInForce tells that requests go by a list from now on, and how long the module took to take it in.
func (l *loop) noteInForce(n discovery.News, began policy.Time) {
	if n.Kind == policy.ListUnavailable || n.Kind == policy.ListUpdate && len(n.Members) == 0 {
		return
	}
	if now := l.clock.now(); l.trace.mayWrite(now, "list") {
		slog.Info("list: in force", "revision", n.Revision, "entries", len(n.Members),
			"whole", n.Kind != policy.ListUpdate, "took", now-began)
	}
	if l.inForce != nil {
		l.inForce(n.Revision, time.Now())
	}
}

// keep holds the list together for a successor, and returns the servers that were up and leave.
func (l *loop) keep(n discovery.News) (leaving []discovery.Member) {
	old := l.members
	if n.Kind != policy.ListUpdate {
		l.members = make(map[string]discovery.Member, len(n.Members))
	}
	l.listedAt = n.Revision
	for _, m := range n.Members {
		if was, ok := old[m.Server]; ok && was.Availability == policy.Running && m.Availability != policy.Running {
			leaving = append(leaving, m)
		}
		if l.members[m.Server] = m; m.Availability == policy.Removed {
			delete(l.members, m.Server)
			l.starts.forget(m.Server)
		}
	}
	if n.Kind == policy.ListUpdate {
		return leaving
	}
	listed := make(map[string]bool, len(n.Members))
	for _, m := range n.Members {
		listed[m.Server] = true
	}
	for id, m := range old {
		if listed[id] {
			continue
		}
		l.starts.forget(id)
		if m.Availability == policy.Running {
			m.Availability = policy.Removed
			leaving = append(leaving, m)
		}
	}
	return leaving
}

// noteServers says once that there is a server to send to.
func (l *loop) noteServers() {
	select {
	case <-l.serves:
		return
	default:
	}
	for _, m := range l.members {
		if m.Availability == policy.Running {
			close(l.serves)
			return
		}
	}
}

// noteLeaving tells the log of each server that leaves, and of the last request that went there.
func (l *loop) noteLeaving(n discovery.News, leaving []discovery.Member) {
	if len(leaving) > 0 && !n.Asked.IsZero() {
		slog.Info("list: servers leave", "servers", len(leaving), "revision", n.Revision,
			"asked_ago", time.Since(n.Asked), "heard_ago", time.Since(n.Heard))
	}
	for _, m := range leaving {
		last, now := l.lastSent[m.Server], l.clock.now()
		delete(l.lastSent, m.Server)
		if last.id != "" && l.trace.mayWrite(now, "leaving") {
			slog.Info("list: a server leaves", "server", m.Server, "draining", m.Availability == policy.Draining,
				"last_request", last.id, "last_sent_ago", now-last.at)
		}
	}
}
