package node

import (
	"context"
	"log/slog"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

// handleList applies a discovery update to the connection pools and the member list, and notifies the decision module.
func (l *loop) handleList(ctx context.Context, received receivedUpdate) {
	update := received.Update
	if update.Kind != policy.ListUnavailable {
		l.upstream.applyList(received)
		l.logLeavingServers(update, l.updateMembers(update))
		l.signalServerKnown()
	}
	members := make([]policy.Member, len(update.Members))
	for i, m := range update.Members {
		members[i] = m.Member
		if m.Availability != policy.Removed {
			members[i].OnlineSince = l.starts.startTime(m.Server, m.UpSince)
		}
	}
	start := l.clock.now()
	l.notifyModule(ctx, policy.MemberList{Kind: update.Kind, Members: members})
	l.reportListApplied(update, start)
	if !received.receivedAt.IsZero() && update.Kind != policy.ListUnavailable {
		l.metrics.listDelay.Observe(time.Since(received.receivedAt).Seconds())
	}
}

// reportListApplied reports that a list has taken effect, and logs how long the decision module took to apply it.
func (l *loop) reportListApplied(update discovery.Update, start policy.Time) {
	if update.Kind == policy.ListUnavailable || update.Kind == policy.ListUpdate && len(update.Members) == 0 {
		return
	}
	if now := l.clock.now(); l.requestLog.mayWrite(now, "list") {
		slog.Info("list: in force", "revision", update.Revision, "entries", len(update.Members),
			"whole", update.Kind != policy.ListUpdate, "took", now-start)
	}
	if l.onListApplied != nil {
		l.onListApplied(update.Revision, time.Now())
	}
}

// updateMembers applies an update to the member list, which a successor process takes over, and returns the servers that
// were running and now leave.
func (l *loop) updateMembers(update discovery.Update) (leaving []discovery.Member) {
	old := l.members
	if update.Kind != policy.ListUpdate {
		l.members = make(map[string]discovery.Member, len(update.Members))
	}
	l.listRevision = update.Revision
	for _, m := range update.Members {
		if previous, ok := old[m.Server]; ok && previous.Availability == policy.Running && m.Availability != policy.Running {
			leaving = append(leaving, m)
		}
		if l.members[m.Server] = m; m.Availability == policy.Removed {
			delete(l.members, m.Server)
			l.starts.forget(m.Server)
		}
	}
	if update.Kind == policy.ListUpdate {
		return leaving
	}
	listed := make(map[string]bool, len(update.Members))
	for _, m := range update.Members {
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
func (l *loop) logLeavingServers(update discovery.Update, leaving []discovery.Member) {
	if len(leaving) > 0 && !update.Requested.IsZero() {
		slog.Info("list: servers leave", "servers", len(leaving), "revision", update.Revision,
			"asked_ago", time.Since(update.Requested), "heard_ago", time.Since(update.Received))
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
