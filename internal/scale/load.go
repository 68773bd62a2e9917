package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	clientTimeoutMargin = time.Second // time that a client waits beyond its deadline, so that late responses are counted
	maxResponseBody     = 64 << 10    // bytes
	maxIdleConns        = 1024        // idle connections kept to a node
	requestIDModulus    = 1 << 32     // a request ID is the seed followed by a counter below this
)

// loadGenerator sends requests to nodes and collects their results.
type loadGenerator struct {
	mu           sync.Mutex
	result       LoadResult
	addedLatency *hdrhistogram.Histogram // microseconds
}

// sendRequests sends requests to one node for the given duration, with Poisson arrivals at the given rate that don't
// wait for earlier responses. No two requests share a connection at the same time. It returns once every request has
// its response or has failed.
func (l *loadGenerator) sendRequests(ctx context.Context, listen string, draw func(*rand.Rand) (class, tenant string),
	deadlines map[string]time.Duration, rate float64, duration time.Duration, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var pending sync.WaitGroup
	defer pending.Wait()
	began, n := time.Now(), uint64(0)
	for at := began; ; n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if at.Sub(began) >= duration {
			return
		}
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		class, tenant := draw(rng)
		request, err := http.NewRequest(http.MethodGet, "http://"+listen+"/api", nil)
		if err != nil {
			return
		}
		request.Header.Set("X-Request-Id", fmt.Sprintf("%016x%08x", seed, n%requestIDModulus))
		request.Header.Set("X-Class", class)
		request.Header.Set("X-Tenant", tenant)
		request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadlines[class].Milliseconds(), 10))
		pending.Go(func() { l.send(ctx, transport, request, at, deadlines[class]+clientTimeoutMargin) })
	}
}

// send makes one request and counts its result. Latency is measured from the planned time of sending, so that a
// delay in sending counts too.
func (l *loadGenerator) send(ctx context.Context, transport *http.Transport, request *http.Request,
	planned time.Time, timeout time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, planned.Add(timeout))
	defer cancel()
	status, processing, err := l.exchange(transport, request.WithContext(ctx))
	took := time.Since(planned)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Sent++
	switch {
	case err != nil:
		l.result.Failed++
	case status == http.StatusOK:
		l.result.Served++
		recordValue(l.addedLatency, (took - processing).Microseconds())
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		l.result.Refused++
	default:
		l.result.Failed++
	}
}

// exchange makes the request and returns the response's status and, if that is 200, the processing time that the
// transcriber reports in the body.
func (l *loadGenerator) exchange(transport *http.Transport, request *http.Request) (
	status int, processing time.Duration, err error,
) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBody))
	if err != nil || response.StatusCode != http.StatusOK {
		return response.StatusCode, 0, err
	}
	var content struct {
		Processing *int64 `json:"held_us"`
	}
	if err := json.Unmarshal(body, &content); err != nil || content.Processing == nil {
		return 0, 0, fmt.Errorf("response without held_us: %.80q", body)
	}
	return response.StatusCode, time.Duration(*content.Processing) * time.Microsecond, nil
}
