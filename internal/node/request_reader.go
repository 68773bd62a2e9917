package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sync/semaphore"

	"cobaltward/policy"
)

// readRequest reads and validates a request. If it is invalid, x is nil, and status and problem are the response. Whatever
// readRequest accepts is forwarded to servers.
func (s *server) readRequest(w http.ResponseWriter, r *http.Request) (x *clientRequest, status int, problem string) {
	h := r.Header
	for _, name := range []string{"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms", "Idempotency-Key"} {
		if len(h[name]) > 1 { // the node and a server might each use a different one
			return nil, http.StatusBadRequest, name + ": given twice"
		}
	}
	id := h.Get("X-Request-Id")
	if !validID(id) {
		return nil, http.StatusBadRequest, "X-Request-Id: missing or malformed"
	}
	if len(h.Get("X-Tenant")) > maxIDLength { // the module stores it
		return nil, http.StatusBadRequest, "X-Tenant: too long"
	}
	class, ok := s.classes[h.Get("X-Class")]
	if !ok {
		return nil, http.StatusBadRequest, "X-Class: unknown"
	}
	deadlineMs, err := strconv.ParseUint(h.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || deadlineMs == 0 || deadlineMs > maxDeadlineMs {
		return nil, http.StatusBadRequest, "X-Deadline-Ms: want whole milliseconds above 0"
	}
	method := http.MethodPost
	if class.Repeat == policy.Free {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return nil, http.StatusMethodNotAllowed, "this class takes " + method
	}
	// Servers drop repeats of the same key: without a key, a second attempt could take effect twice.
	if class.Repeat == policy.Guarded && h.Get("Idempotency-Key") == "" {
		return nil, http.StatusBadRequest, "Idempotency-Key: missing"
	}
	if r.ContentLength > maxBodySize { // reject without reading any of it
		return nil, http.StatusRequestEntityTooLarge, errTooLarge.Error()
	}
	x = &clientRequest{method: method, length: r.ContentLength, client: clientConnOf(r)}
	// No client waits longer than its class allows, whatever it states.
	x.clientTimeout = min(time.Duration(deadlineMs)*time.Millisecond, class.Deadline)
	if err := s.readBody(w, r, x); err != nil {
		x.reserved.release()
		status, problem = bodyErrorStatus(err)
		return nil, status, problem
	}
	if method == http.MethodGet && len(x.body) > 0 {
		x.reserved.release()
		return nil, http.StatusBadRequest, "a GET has no body"
	}
	hint, _ := strconv.ParseUint(h.Get("X-Cost-Hint"), 10, 32) // only an estimate; 0 if missing or malformed
	x.req = policy.Request{ID: id, Class: class.Name, Tenant: h.Get("X-Tenant"), Key: h.Get("X-Key"),
		CostHint: time.Duration(hint) * time.Microsecond, Retry: h.Get("X-Retry") == "1"}
	x.url, x.host, x.idempotencyKey, x.contentType = r.URL, r.Host, h.Get("Idempotency-Key"), h.Get("Content-Type")
	r.Header = nil // frees what the node doesn't need while the request is open
	x.setUp()
	if x.lastByteAt.IsZero() {
		x.lastByteAt = x.client.arrivedAt()
	}
	x.arrivedAt = s.loop.clock.fromTime(x.lastByteAt)
	return x, 0, ""
}

// readBody reads a small body completely, and of a large one the part that is buffered; the rest is streamed later.
func (s *server) readBody(w http.ResponseWriter, r *http.Request, x *clientRequest) (err error) {
	if x.length == 0 {
		return nil
	}
	var began time.Time
	if c := clientConnOf(r); c != nil {
		began = c.expectBody(x.length)
	}
	headArrivedAt := x.client.arrivedAt()
	mayBeLarge := x.length < 0 || x.length > maxSmallBody
	if mayBeLarge {
		x.client.limitReceiveBuffer()
	}
	budget, hold := s.memory.requests, x.length
	switch {
	case x.length < 0:
		hold = maxSmallBody + 1 // one more, to detect whether the body is large
	case x.length > maxSmallBody:
		budget, hold = s.memory.largeRequests, maxSmallBody
		// A body that is buffered completely occupies a server only once all of it has arrived, and can be sent again.
		if x.length <= maxHeldBody {
			if x.reserved = tryReserve(s.memory.heldRequests, x.length); x.reserved != nil {
				hold = x.length
			}
		}
	}
	if x.reserved == nil {
		if x.reserved, err = s.waitForMemory(r, x, budget, hold); err != nil {
			return err
		}
	}
	var elapsed time.Duration
	if !began.IsZero() {
		elapsed = time.Since(began)
	}
	up := newUpload(w, x.client, r.Body, elapsed, max(s.memory.bodyRate, x.leastBodyRate()))
	up.length = x.length
	up.progress.reachedAt[0] = headArrivedAt
	x.body = make([]byte, hold)
	n, err := io.ReadFull(up, x.body)
	if mayBeLarge && x.client != nil { // what arrived while the body was read may have been written before
		x.lastByteAt = up.earliestEnd()
	}
	switch x.body = x.body[:n]; {
	case err == nil && x.length != hold:
		x.bodyRest = up
		return nil
	case err == nil:
		return nil
	case x.length < 0 && (err == io.EOF || err == io.ErrUnexpectedEOF) && up.failure() == nil:
		x.reserved.resize(int64(n))
		x.body, x.length = slices.Clone(x.body), int64(n)
		return nil
	}
	return err
}

// leastBodyRate returns the rate, in bytes per second, at which a body has to be read so that what its client has written
// unseen by the node is read within half of the client's timeout.
func (x *clientRequest) leastBodyRate() float64 {
	return maxUnseenBody / (x.clientTimeout.Seconds() / 2)
}

// waitForMemory reserves memory for a body. For a small body, or one that has arrived completely, it waits no longer than
// the client does, because the client of a complete request must get a final answer even if there is no memory. A body of
// which so much is unread that the client may have written all of it counts as complete. Any other is still being sent, and
// waits on. All waits end when the process stops.
func (s *server) waitForMemory(r *http.Request, x *clientRequest, budget *semaphore.Weighted, bytes int64) (*reservation, error) {
	if reserved := tryReserve(budget, bytes); reserved != nil {
		return reserved, nil
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(s.stopping, func() { cancel(errNoMemory) })()
	interval := max(time.Millisecond, x.clientTimeout-x.margin()-time.Since(x.client.arrivedAt()))
	var check *time.Timer
	check = time.AfterFunc(time.Hour, func() { // started below, once check is set
		if x.length <= maxSmallBody || x.client.hasUnreadBytes(min(x.length, minUnreadHidingFIN)) {
			cancel(errNoMemory)
		} else if ctx.Err() == nil {
			check.Reset(interval)
		}
	})
	check.Reset(interval)
	defer check.Stop()
	reserved, err := reserve(ctx, budget, bytes)
	if err != nil && context.Cause(ctx) == errNoMemory {
		err = errNoMemory
	}
	return reserved, err
}

// validID reports whether an id may be stored in the table of requests and sent in a header.
func validID(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= maxIDLength
}

// bodyErrorStatus returns the status and text for a client whose body could not be read.
func bodyErrorStatus(err error) (status int, problem string) {
	switch {
	case errors.Is(err, errTooLarge):
		return http.StatusRequestEntityTooLarge, err.Error()
	case errors.Is(err, errNoMemory):
		return http.StatusServiceUnavailable, err.Error()
	case errors.Is(err, errTooSlow) || errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, errTooSlow.Error()
	}
	return http.StatusBadRequest, "the body can't be read"
}
