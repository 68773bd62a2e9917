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
	ownSockets   = 24                     // descriptors for the log, discovery, the runtime and the like
	clientsPart  = 0.4                    // of the others for clients: the third that their requests take, and some room
	longestDrain = 3 * time.Second        // no client waits longer once a node is told to stop
	leavingPart  = 0.6                    // of that, in which the node still takes in what comes
	leavingLeast = 450 * time.Millisecond // new connections come for up to 0.4 s after SIGTERM
	killSlack    = 300 * time.Millisecond // of the 0.7 s that SIGKILL comes after the longest deadline
	readyLatest  = 5 * time.Second        // a node that knows no server says that it is ready after this all the same
	lookEvery    = 10 * time.Millisecond  // for whether clients are left
	lastAnswers  = 100 * time.Millisecond // for what is failed then to reach its clients
)

// Listeners are the listeners that a node is reached by.
type Listeners struct {
	Clients   net.Listener
	Operators net.Listener // nil: there is no admin listener
}

// Run serves clients until ctx ends. Then it goes on accepting for a moment, answers what it has taken,
// and returns. Discovery follows the addresses that come from moves.
func Run(ctx context.Context, c Config, listeners Listeners, moves <-chan string) error {
	ck := clock{start: time.Now()}
	h, old := succeed(&c)
	var joined atomic.Pointer[handover]
	if h != nil {
		joined.Store(h)
		defer h.leave()
	}
	own := ownSockets
	if listeners.Operators != nil {
		own += adminSockets
	}
	most := int(clientsPart * float64(c.Sockets-own))
	up := newUpstream(c, c.Sockets-own-most)
	defer up.close()
	logSettings(c.Settings)
	slog.Info("limits", "nodes", c.Settings.Nodes, "max_open", c.MaxOpen, "connect_timeout", c.ConnectTimeout,
		"connection_idle", c.Settings.Allowed.ConnIdle, "max_retry_after", c.Settings.Allowed.MaxRetryAfter,
		"client_sockets", most, "server_sockets", up.most)
	l, err := newLoop(c, ck, up)
	if err != nil {
		return err
	}
	if m, ok := l.module.(*policy.Balancer); ok {
		m.Restore(ck.now(), old.Policy, time.Since(old.Saved))
	}
	s := newServer(c, l)
	clients := newClients(listeners.Clients, most)
	clients.monitor = up.monitor
	clients.available, up.borrowed, up.reclaim = up.available, clients.borrowed, clients.reclaim
	l.clients = clients
	clients.metrics = l.metrics
	l.metrics.watch(up.monitor, clients, up, &s.life, c.LogDropped)
	s.life.closeIdle = clients.closeIdle
	if h != nil {
		s.life.follow(h.noteStandby)
	}
	defer s.life.end()
	if listeners.Operators != nil { // before all else, so that operators can ask how the start goes
		defer startAdmin(listeners.Operators, c.Name, &s.life, l.metrics.handler()).close()
	}
	s.http.ErrorLog = slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn)

	running, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	parts.Go(func() { l.run(running, c.Known) })
	parts.Go(func() { l.disc.Run(running) })
	parts.Go(func() {
		for {
			select {
			case addr := <-moves:
				l.disc.Move(addr)
			case <-running.Done():
				return
			}
		}
	})

	<-l.ready
	if old.Standby {
		s.life.standBy()
	}
	shares := &shared{handover: h, loop: l, life: &s.life, clients: clients, up: up, clientSockets: most,
		serverSockets: up.most, ownSockets: own}
	switch {
	case h != nil:
		shares.step(time.Now())
		parts.Go(func() { shares.run(running) })
	case c.Handover != "":
		parts.Go(func() { shares.joinLater(running, c.Handover, &joined) })
	}
	select {
	case <-l.serves: // before the first client is taken in
		s.life.load()
	default:
		parts.Go(func() {
			if !l.awaitServers(running) {
				slog.Warn("ready without knowing a server")
			}
			s.life.load()
		})
	}
	failed := make(chan error, 1)
	parts.Go(func() { failed <- s.http.Serve(clients) })
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	h = joined.Load()
	s.drain(c, clients, failed, h != nil && h.succeeded())
	return nil
}

// awaitServers waits until a server is known, but not for longer than the pages leave time for, and reports which:
// discovery may be away, and the front would send nobody for as long.
func (l *loop) awaitServers(ctx context.Context) bool {
	late := time.NewTimer(readyLatest)
	defer late.Stop()
	select {
	case <-l.serves:
		return true
	case <-late.C:
	case <-ctx.Done():
	}
	return false
}

// succeed takes this process's place among the node's, and what the one before it has left.
func succeed(c *Config) (*handover, snapshot) {
	if c.Handover == "" {
		return nil, snapshot{}
	}
	h, err := joinPatiently(c.Handover)
	if err != nil { // it can serve all the same, and the clients' socket is there
		slog.Warn("handover: none yet, for the folder is of no use", "err", err)
		return nil, snapshot{}
	}
	if h.before == 0 {
		return h, snapshot{}
	}
	old, err := h.read(h.before, time.Now())
	if err != nil {
		slog.Warn("handover: starting without the old process's word", "err", err)
		return h, snapshot{}
	}
	slog.Info("handover: taking over", "servers", len(old.Members), "revision", old.Revision, "standby", old.Standby,
		"age", time.Since(old.Saved))
	if len(old.Members) > 0 {
		c.Known = discovery.List{Revision: old.Revision, Complete: true, Members: old.Members}
	}
	return h, old
}

// drain ends the service. Clients go on coming for a while, and go on using the connections that they
// have: there may be no other node for them yet. So the node serves as before at first, and says only
// that it isn't ready; then it ends each connection with its answer, early enough for what it took last.
// Where a successor takes the clients, it begins with that.
func (s *server) drain(c Config, clients *clients, served <-chan error, succeeded bool) {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	longest = min(longest, longestDrain)
	leave := max(leavingLeast, time.Duration(leavingPart*float64(longest)))
	longest += killSlack
	if succeeded {
		leave = 0
	}
	slog.Info("stopping", "succeeded", succeeded, "serves_on", leave, "at_most", longest)
	late := time.NewTimer(longest)
	defer late.Stop()
	s.life.leave(leave)
	if leave > 0 {
		time.Sleep(leave)
	}
	s.life.close()
	clients.Close()
	<-served // the last connection that was accepted is among those that are waited for
	if s.emptied(clients, late.C) {
		return
	}
	s.finish()
	late.Reset(lastAnswers)
	if !s.emptied(clients, late.C) {
		slog.Warn("stopped with clients left", "connections", clients.left())
		clients.cutOff()
		s.http.Close()
	}
}

// finish ends what is still open, and refuses what comes yet. The handlers do so themselves, for the loop may be late, and
// connections are cut soon.
func (s *server) finish() {
	s.loop.send(finish{}) // ahead of what the handlers tell the loop
	close(s.ending)
}

// emptied waits until no client is left, and reports false if it grew late first.
func (s *server) emptied(clients *clients, late <-chan time.Time) bool {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for clients.left() > 0 {
		select {
		case <-look.C:
		case <-late:
			time.Sleep(2 * lookEvery) // a process that was held up until now has not run since then
			return clients.left() == 0
		}
	}
	return true
}
