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

// read takes in a whole request, or says what is wrong with it. What it lets through reaches servers.
func (s *server) read(w http.ResponseWriter, r *http.Request) (x *clientRequest, status int, problem string) {
	h := r.Header
	for _, name := range []string{"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms", "Idempotency-Key"} {
		if len(h[name]) > 1 { // this node and a server might each go by another
			return nil, http.StatusBadRequest, name + ": given twice"
		}
	}
	id := h.Get("X-Request-Id")
	if !usableID(id) {
		return nil, http.StatusBadRequest, "X-Request-Id: missing or malformed"
	}
	if len(h.Get("X-Tenant")) > maxID { // the module remembers it
		return nil, http.StatusBadRequest, "X-Tenant: too long"
	}
	class, ok := s.classes[h.Get("X-Class")]
	if !ok {
		return nil, http.StatusBadRequest, "X-Class: unknown"
	}
	waits, err := strconv.ParseUint(h.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || waits == 0 || waits > maxDeadlineMs {
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
	// Servers drop the repeats of a key: without one, a second attempt could take effect twice.
	if class.Repeat == policy.Guarded && h.Get("Idempotency-Key") == "" {
		return nil, http.StatusBadRequest, "Idempotency-Key: missing"
	}
	if r.ContentLength > maxBody { // not a byte of it need be read
		return nil, http.StatusRequestEntityTooLarge, errTooLarge.Error()
	}
	x = &clientRequest{method: method, length: r.ContentLength, client: clientOf(r)}
	// No client waits longer than its class allows, whatever it says.
	x.clientWaits = min(time.Duration(waits)*time.Millisecond, class.Deadline)
	if err := s.readBody(w, r, x); err != nil {
		x.reserved.release()
		status, problem = bodyProblem(err)
		return nil, status, problem
	}
	if method == http.MethodGet && len(x.body) > 0 {
		x.reserved.release()
		return nil, http.StatusBadRequest, "a GET has no body"
	}
	hint, _ := strconv.ParseUint(h.Get("X-Cost-Hint"), 10, 32) // a guess; none is as good as a bad one
	x.req = policy.Request{ID: id, Class: class.Name, Tenant: h.Get("X-Tenant"), Key: h.Get("X-Key"),
		Hint: time.Duration(hint) * time.Microsecond, Retry: h.Get("X-Retry") == "1"}
	x.url, x.host, x.key, x.contentType = r.URL, r.Host, h.Get("Idempotency-Key"), h.Get("Content-Type")
	x.begin()
	x.came = s.loop.clock.of(x.client.arrived())
	return x, 0, ""
}

// readBody reads a body that is small whole, and of a large one as much as is held; the rest goes on as it comes.
func (s *server) readBody(w http.ResponseWriter, r *http.Request, x *clientRequest) (err error) {
	if x.length == 0 {
		return nil
	}
	var began time.Time
	if c := clientOf(r); c != nil {
		began = c.expect(x.length)
	}
	budget, hold := s.memory.requests, x.length
	switch {
	case x.length < 0:
		hold = wholeBody + 1 // the last byte tells whether it is large
	case x.length > wholeBody:
		budget, hold = s.memory.largeRequests, wholeBody
		// Held whole, it takes up a server only once all of it has come, and can be sent again.
		if x.length <= heldBody {
			if x.reserved = tryReserve(s.memory.held, x.length); x.reserved != nil {
				hold = x.length
			}
		}
	}
	if x.reserved == nil {
		if x.reserved, err = s.waitForMemory(r, x, budget, hold); err != nil {
			return err
		}
	}
	var ago time.Duration
	if !began.IsZero() {
		ago = time.Since(began)
	}
	up := newUpload(w, x.client, r.Body, ago, s.memory.rate)
	x.body = make([]byte, hold)
	n, err := io.ReadFull(up, x.body)
	switch x.body = x.body[:n]; {
	case err == nil && x.length != hold:
		x.rest = up
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

// waitForMemory reserves memory for a body, but waits no longer than the client of one that has been written whole: it is owed
// its final answer whoever holds it. Of a larger body the rest comes only once there is some. Nobody waits beyond the
// process's end.
func (s *server) waitForMemory(r *http.Request, x *clientRequest, budget *semaphore.Weighted, bytes int64) (*reservation, error) {
	if reserved := tryReserve(budget, bytes); reserved != nil {
		return reserved, nil
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	look := time.NewTicker(max(time.Millisecond, x.clientWaits-x.margin()-time.Since(x.client.arrived())))
	defer look.Stop()
	go func() {
		for {
			select {
			case <-look.C:
				if x.length <= wholeBody || x.client.holdsUnread(x.length) {
					cancel(errNoMemory)
				}
			case <-s.ending:
				cancel(errNoMemory)
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	reserved, err := reserve(ctx, budget, bytes)
	if err != nil && context.Cause(ctx) == errNoMemory {
		err = errNoMemory
	}
	return reserved, err
}

// usableID guards the table of requests and the header it goes on in.
func usableID(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= maxID
}

// bodyProblem is what a client is told whose body could not be read.
func bodyProblem(err error) (status int, problem string) {
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
