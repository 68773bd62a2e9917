package scale

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

// startTranscribers starts the transcribers of a small world. It retries with another port if the chosen one was
// taken before it could listen.
func startTranscribers(t *testing.T) (*Transcribers, *World) {
	t.Helper()
	for {
		port, err := FreeLoopbackPort()
		if err != nil {
			t.Fatal(err)
		}
		w := NewWorld(testStep, 1, port)
		tr, err := StartTranscribers(TranscribersConfig{Members: w.Members(), Seed: 1})
		if err == nil {
			return tr, w
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatal(err)
		}
	}
}

func TestTranscribersAnswerAtOwnAddress(t *testing.T) {
	defer goleak.VerifyNone(t)
	tr, w := startTranscribers(t)
	defer tr.Close()
	members := w.Members()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, e := range append(members[:len(members):len(members)], members[0]) {
		req, err := http.NewRequest(http.MethodPost, "http://"+e.HostPort+"/any?q=1", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Request-Id", "r1")
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		var got struct {
			Held *int64 `json:"held_us"`
		}
		err = json.NewDecoder(resp.Body).Decode(&got)
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || err != nil || got.Held == nil || *got.Held < 0 {
			t.Fatalf("got %d, %v", resp.StatusCode, err)
		}
	}
	if got := tr.Stats(); got.Requests != 44 || got.Reached != 43 || got.Accepted < 43 {
		t.Errorf("got %+v", got)
	}
	client.CloseIdleConnections()
	waitUntil(t, "the connections to close", func() bool { return tr.Stats().Open == 0 })
}

func TestTranscribersCloseConnectionToUnknownAddress(t *testing.T) {
	defer goleak.VerifyNone(t)
	tr, w := startTranscribers(t)
	defer tr.Close()
	_, port, err := net.SplitHostPort(w.Members()[0].HostPort)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", "127.0.0.1:"+port)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if got := tr.Stats(); got != (TranscriberStats{}) {
		t.Errorf("got %+v", got)
	}
}

func TestStartTranscribersPortInUse(t *testing.T) {
	tr, w := startTranscribers(t)
	defer tr.Close()
	if _, err := StartTranscribers(TranscribersConfig{Members: w.Members()}); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("got %v", err)
	}
}

func TestStartTranscribersRejectsInvalidMembers(t *testing.T) {
	for want, addrs := range map[string][]string{
		"transcribers: members: want 1 or more":                 nil,
		"transcribers: members[1].host_port: want port 1":       {"127.64.0.1:1", "127.64.0.2:2"},
		"transcribers: members[0].host_port: want a loopback a": {"10.0.0.1:1"},
	} {
		var members []Entry
		for _, a := range addrs {
			members = append(members, Entry{HostPort: a})
		}
		if _, err := StartTranscribers(TranscribersConfig{Members: members}); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

func TestTranscribersReportProcessingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, _, err := newTranscribers(TranscribersConfig{Members: []Entry{{HostPort: "127.64.0.1:1"}}, MeanProcessingTime: time.Second, Seed: 1})
		if err != nil {
			t.Fatal(err)
		}
		var sum time.Duration
		for range 400 {
			req := httptest.NewRequest(http.MethodGet, "/", nil)
			req.Header.Set("X-Request-Id", "r")
			rec, before := httptest.NewRecorder(), time.Now()
			tr.ServeHTTP(rec, req)
			var got struct {
				Held int64 `json:"held_us"`
			}
			if err := json.Unmarshal(rec.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			elapsed := time.Since(before)
			if got.Held != elapsed.Microseconds() {
				t.Fatalf("took %v, reported %d µs", elapsed, got.Held)
			}
			sum += elapsed
		}
		if mean := sum / 400; mean < 800*time.Millisecond || mean > 1200*time.Millisecond { // four standard errors, one seed
			t.Errorf("the mean is %v", mean)
		}
	})
}

func TestTranscribersRejectProbesAndMissingIDs(t *testing.T) {
	tr, _, err := newTranscribers(TranscribersConfig{Members: []Entry{{HostPort: "127.64.0.1:1"}}})
	if err != nil {
		t.Fatal(err)
	}
	for path, id := range map[string]string{"/health/live": "r", "/stats": "r", "/": ""} {
		req := httptest.NewRequest(http.MethodGet, path, nil)
		if id != "" {
			req.Header.Set("X-Request-Id", id)
		}
		rec := httptest.NewRecorder()
		tr.ServeHTTP(rec, req)
		if rec.Code != http.StatusNotFound {
			t.Errorf("%s: %d", path, rec.Code)
		}
	}
}
