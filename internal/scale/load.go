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
	clientSlack  = time.Second // that a client waits beyond its deadline, so that late answers show
	maxAnswer    = 64 << 10    // bytes
	clientsIdle  = 1024        // connections kept to a node
	pickedAtOnce = 1 << 32     // request ids of a run begin with its seed
)

// load is what clients have seen.
type load struct {
	mu    sync.Mutex
	sum   LoadResult
	added *hdrhistogram.Histogram // microseconds
}

// loadNode sends requests to one node for a time: Poisson arrivals that don't wait for answers, each over a
// connection that no other uses meanwhile. It returns once all have been answered or given up.
func (l *load) loadNode(ctx context.Context, listen string, pick func(*rand.Rand) (class, tenant string),
	deadlines map[string]time.Duration, rate float64, span time.Duration, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	transport := &http.Transport{MaxIdleConnsPerHost: clientsIdle, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var open sync.WaitGroup
	defer open.Wait()
	begin, n := time.Now(), uint64(0)
	for at := begin; ; n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if at.Sub(begin) >= span {
			return
		}
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		class, tenant := pick(rng)
		r, err := http.NewRequest(http.MethodGet, "http://"+listen+"/api", nil)
		if err != nil {
			return
		}
		r.Header.Set("X-Request-Id", fmt.Sprintf("%016x%08x", seed, n%pickedAtOnce))
		r.Header.Set("X-Class", class)
		r.Header.Set("X-Tenant", tenant)
		r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadlines[class].Milliseconds(), 10))
		open.Go(func() { l.send(ctx, transport, r, at, deadlines[class]+clientSlack) })
	}
}

func (l *load) send(ctx context.Context, transport *http.Transport, r *http.Request, planned time.Time, limit time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, planned.Add(limit))
	defer cancel()
	status, held, err := l.exchange(transport, r.WithContext(ctx))
	took := time.Since(planned)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum.Sent++
	switch {
	case err != nil:
		l.sum.Failed++
	case status == http.StatusOK:
		l.sum.Served++
		record(l.added, (took - held).Microseconds())
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		l.sum.Refused++
	default:
		l.sum.Failed++
	}
}

// exchange returns the answer's status, and how long the transcriber had the request.
func (l *load) exchange(transport *http.Transport, r *http.Request) (status int, held time.Duration, err error) {
	answer, err := transport.RoundTrip(r)
	if err != nil {
		return 0, 0, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil || answer.StatusCode != http.StatusOK {
		return answer.StatusCode, 0, err
	}
	var told struct {
		Held *int64 `json:"held_us"`
	}
	if err := json.Unmarshal(body, &told); err != nil || told.Held == nil {
		return 0, 0, fmt.Errorf("answer without held_us: %.80q", body)
	}
	return answer.StatusCode, time.Duration(*told.Held) * time.Microsecond, nil
}
