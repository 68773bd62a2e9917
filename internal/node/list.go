package node

import (
	"context"
	"log/slog"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

// handleList applies discovery news to the connection pools and the member list, and tells the decision module.
func (l *loop) handleList(ctx context.Context, heard receivedUpdate) {
	n := heard.Update
	if n.Kind != policy.ListUnavailable {
		l.upstream.applyList(heard)
		l.logLeavingServers(n, l.updateMembers(n))
		l.signalServerKnown()
	}
	members := make([]policy.Member, len(n.Members))
	for i, m := range n.Members {
		members[i] = m.Member
		if m.Availability != policy.Removed {
			members[i].OnlineSince = l.starts.startTime(m.Server, m.UpSince)
		}
	}
	start := l.clock.now()
	l.notifyModule(ctx, policy.MemberList{Kind: n.Kind, Members: members})
	l.reportListApplied(n, start)
	if !heard.receivedAt.IsZero() && n.Kind != policy.ListUnavailable {
		l.metrics.listDelay.Observe(time.Since(heard.receivedAt).Seconds())
	}
}

// reportListApplied reports that a list has taken effect, and logs how long the decision module took to apply it.
func (l *loop) reportListApplied(n discovery.Update, start policy.Time) {
	if n.Kind == policy.ListUnavailable || n.Kind == policy.ListUpdate && len(n.Members) == 0 {
		return
	}
	if now := l.clock.now(); l.requestLog.mayWrite(now, "list") {
		slog.Info("list: in force", "revision", n.Revision, "entries", len(n.Members),
			"whole", n.Kind != policy.ListUpdate, "took", now-start)
	}
	if l.onListApplied != nil {
		l.onListApplied(n.Revision, time.Now())
	}
}

// updateMembers merges the news into the member list, which a successor process takes over, and returns the servers that
// were running and now leave.
func (l *loop) updateMembers(n discovery.Update) (leaving []discovery.Member) {
	old := l.members
	if n.Kind != policy.ListUpdate {
		l.members = make(map[string]discovery.Member, len(n.Members))
	}
	l.listRevision = n.Revision
	for _, m := range n.Members {
		if previous, ok := old[m.Server]; ok && previous.Availability == policy.Running && m.Availability != policy.Running {
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

// signalServerKnown closes serverKnown as soon as a running server is listed.
func (l *loop) signalServerKnown() {
	select {
	case <-l.serverKnown:
		return
	default:
	}
	for _, m := range l.members {
		if m.Availability == policy.Running {
			close(l.serverKnown)
			return
		}
	}
}

// logLeavingServers logs each server that leaves and the last request that was sent to it.
func (l *loop) logLeavingServers(n discovery.Update, leaving []discovery.Member) {
	if len(leaving) > 0 && !n.Requested.IsZero() {
		slog.Info("list: servers leave", "servers", len(leaving), "revision", n.Revision,
			"asked_ago", time.Since(n.Requested), "heard_ago", time.Since(n.Received))
	}
	for _, m := range leaving {
		last, now := l.lastSent[m.Server], l.clock.now()
		delete(l.lastSent, m.Server)
		if last.id != "" && l.requestLog.mayWrite(now, "leaving") {
			slog.Info("list: a server leaves", "server", m.Server, "draining", m.Availability == policy.Draining,
				"last_request", last.id, "last_sent_ago", now-last.at)
		}
	}
}
