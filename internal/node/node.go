package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

const (
	reservedSockets      = 24                     // descriptors for the log, discovery, the runtime and the like
	clientSocketFraction = 0.4                    // of the other descriptors, for clients: requests need a third, the rest is spare
	maxDrain             = 3 * time.Second        // upper limit on the longest deadline that a stopping node allows for
	leavingFraction      = 0.6                    // of the longest deadline, for which a stopping node still accepts connections
	minLeaving           = 450 * time.Millisecond // new connections arrive for up to 0.4 s after SIGTERM
	// killMargin is how much longer than the longest deadline a stopping node lets open requests run. SIGKILL may come 0.7 s
	// after that deadline; the rest of that time is for a process that gets the processor late and for the final answers.
	killMargin        = 300 * time.Millisecond
	readyTimeout      = 5 * time.Second        // after which a node reports ready even if it knows no server
	drainPollInterval = 10 * time.Millisecond  // between checks whether clients are left
	finalAnswerTime   = 100 * time.Millisecond // for the answers to requests ended by endOpenRequests to reach their clients
	// maxDownloadDrain limits how long a stopping node passes on large answers that have begun.
	maxDownloadDrain = maxBodySize/minBodyRate*time.Second + time.Minute
)

// Listeners are the listeners of a node.
type Listeners struct {
	Clients   net.Listener
	Operators net.Listener // nil: there is no admin listener
}

// Run serves clients until ctx ends. Then it continues to accept connections for a moment, answers the open requests, and
// returns. Each address received from moves replaces the address of discovery.
func Run(ctx context.Context, c Config, listeners Listeners, moves <-chan string) error {
	ck := clock{start: time.Now()}
	h, inherited := takeOver(&c)
	var joined atomic.Pointer[handover]
	if h != nil {
		joined.Store(h)
		defer h.leave()
	}
	reserved := reservedSockets
	if listeners.Operators != nil {
		reserved += adminSockets
	}
	clientSockets := int(clientSocketFraction * float64(c.Sockets-reserved))
	up := newUpstream(c, c.Sockets-reserved-clientSockets)
	defer up.close()
	logSettings(c.Settings)
	slog.Info("limits", "nodes", c.Settings.Nodes, "max_open", c.MaxOpen, "connect_timeout", c.ConnectTimeout,
		"connection_idle", c.Settings.Allowed.ConnIdle, "max_retry_after", c.Settings.Allowed.MaxRetryAfter,
		"client_sockets", clientSockets, "server_sockets", up.maxOpenConns)
	l, err := newLoop(c, ck, up)
	if err != nil {
		return err
	}
	if m, ok := l.module.(*policy.Balancer); ok {
		m.Restore(ck.now(), inherited.Policy, time.Since(inherited.Saved))
	}
	defer l.closeSharedIDs() // once the loop has ended
	if h != nil {
		if err := h.keepSharedIDs(l); err != nil {
			slog.Warn("handover: the table of ids can't be opened now", "err", err)
		}
	}
	s := newServer(c, l)
	clients := newClientListener(listeners.Clients, clientSockets)
	clients.monitor = up.monitor
	clients.readAheadLeft = int(bodyBudget(c.MemoryMB))
	clients.memoryLimit = maxClientConns(c.MemoryMB)
	clients.spareDescriptors, up.borrowed, up.reclaim = up.spareDescriptors, clients.borrowed, clients.reclaim
	l.clients = clients
	clients.metrics = l.metrics
	l.metrics.registerSources(up.monitor, clients, up, &s.lifecycle, c.LogDropped)
	s.lifecycle.closeIdle = clients.closeIdle
	if h != nil {
		s.lifecycle.setStandbyRecorder(h.recordStandby)
	}
	defer s.lifecycle.stopDraining()
	if listeners.Operators != nil { // first, so that operators can follow the start
		defer startAdmin(listeners.Operators, c.Name, &s.lifecycle, l.metrics.handler()).close()
	}
	s.http.ErrorLog = slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn)

	running, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	tasks.Go(func() { l.run(running, c.Known) })
	tasks.Go(func() { l.discovery.Run(running) })
	tasks.Go(func() {
		for {
			select {
			case addr := <-moves:
				l.discovery.Move(addr)
			case <-running.Done():
				return
			}
		}
	})

	<-l.initialListApplied
	if inherited.Standby {
		s.lifecycle.enterStandby()
	}
	shares := &sharedLimits{handover: h, loop: l, lifecycle: &s.lifecycle, clients: clients, upstream: up, clientSockets: clientSockets,
		serverSockets: up.maxOpenConns, reservedSockets: reserved}
	switch {
	case h != nil:
		shares.step(time.Now())
		tasks.Go(func() { shares.run(running) })
	case c.Handover != "":
		tasks.Go(func() { shares.joinLater(running, c.Handover, &joined) })
	}
	select {
	case <-l.serverKnown: // before the first client is accepted
		s.lifecycle.markServersKnown()
	default:
		tasks.Go(func() {
			if !l.awaitServers(running) {
				slog.Warn("reporting ready although no server is known")
			}
			s.lifecycle.markServersKnown()
		})
	}
	failed := make(chan error, 1)
	tasks.Go(func() { failed <- s.http.Serve(clients) })
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	h = joined.Load()
	s.drain(c, clients, failed, h != nil && h.hasSuccessor())
	return nil
}

// awaitServers waits until a server is known, and reports whether one is. It waits no longer than readyTimeout: discovery
// may be unavailable, and until the node reports ready the front sends it no clients.
func (l *loop) awaitServers(ctx context.Context) bool {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	select {
	case <-l.serverKnown:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// takeOver joins the processes of this node, and reads the snapshot of the process before this one.
func takeOver(c *Config) (*handover, snapshot) {
	if c.Handover == "" {
		return nil, snapshot{}
	}
	h, err := joinWithRetry(c.Handover)
	if err != nil { // the node can serve without it, as the clients' listener exists
		slog.Warn("handover: can't join the folder, starting without it", "err", err)
		return nil, snapshot{}
	}
	if h.predecessor == 0 {
		return h, snapshot{}
	}
	inherited, err := h.readSnapshot(h.predecessor, time.Now())
	if err != nil {
		slog.Warn("handover: starting without the old process's snapshot", "err", err)
		return h, snapshot{}
	}
	slog.Info("handover: taking over", "servers", len(inherited.Members), "revision", inherited.Revision, "standby", inherited.Standby,
		"age", time.Since(inherited.Saved))
	if len(inherited.Members) > 0 {
		c.Known = discovery.List{Revision: inherited.Revision, Complete: true, Members: inherited.Members}
	}
	return h, inherited
}

// drain ends the service. Clients keep connecting and keep using their connections for a while: there may be no other
// node for them yet. So at first the node serves as before, and only reports that it isn't ready. Then it accepts no new
// connections and closes each one after its response, early enough for the requests accepted last to be answered. If a
// successor serves the clients, it starts closing at once. Large answers that have begun are passed on to their end.
func (s *server) drain(c Config, clients *clientListener, serveEnded <-chan error, hasSuccessor bool) {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	longest = min(longest, maxDrain)
	leavingTime := max(minLeaving, time.Duration(leavingFraction*float64(longest)))
	longest += killMargin
	if hasSuccessor {
		leavingTime = 0
	}
	slog.Info("stopping", "succeeded", hasSuccessor, "serves_on", leavingTime, "at_most", longest)
	timeout := time.NewTimer(longest)
	defer timeout.Stop()
	s.lifecycle.beginLeaving(leavingTime)
	if leavingTime > 0 {
		time.Sleep(leavingTime)
	}
	s.lifecycle.beginClosing()
	clients.Close()
	<-serveEnded // from here on, the count of open connections includes the one accepted last
	if s.awaitNoClients(clients, timeout.C) {
		return
	}
	s.endOpenRequests()
	timeout.Reset(finalAnswerTime)
	if s.awaitNoClients(clients, timeout.C) {
		return
	}
	if s.awaitDownloads(maxDownloadDrain) {
		timeout.Reset(finalAnswerTime)
		if s.awaitNoClients(clients, timeout.C) {
			return
		}
	}
	slog.Warn("stopped with client connections open", "connections", clients.openCount())
	clients.stopLingering()
	s.http.Close()
}

// endOpenRequests ends the requests that are still open, and refuses new ones. The handlers do so themselves, since the
// loop may be late and connections will soon be closed.
func (s *server) endOpenRequests() {
	s.loop.send(finish{}) // before the events that the handlers send to the loop
	s.stop()
}

// awaitDownloads waits until the large answers that the node is passing on have ended, up to a limit. It returns false if
// there are none. Their requests have run, and no deadline applies to them any more: cutting one off would lose it. The
// platform ends a process that takes too long for it.
func (s *server) awaitDownloads(limit time.Duration) bool {
	n := s.downloads.Load()
	if n == 0 {
		return false
	}
	slog.Info("passing on the large answers that have begun", "answers", n)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for began := time.Now(); s.downloads.Load() > 0 && time.Since(began) < limit; {
		<-ticker.C
	}
	return true
}

// awaitNoClients waits until no client is left. It returns false if timeout fires first.
func (s *server) awaitNoClients(clients *clientListener, timeout <-chan time.Time) bool {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for clients.openCount() > 0 {
		select {
		case <-ticker.C:
		case <-timeout:
			time.Sleep(2 * drainPollInterval) // if the process was suspended, its handlers have not run since timeout fired
			return clients.openCount() == 0
		}
	}
	return true
}
