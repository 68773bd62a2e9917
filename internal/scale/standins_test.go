package scale

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cobaltward/internal/node"
)

func TestANodeServesRequestsAmongTheStandIns(t *testing.T) {
	tr, w := startTranscribers(t)
	defer tr.Close()
	r, err := StartRegistry(RegistryConfig{Listeners: 1, Members: w.Members()})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	raw, err := w.Config(0, addr, r.Addresses()[0], 64)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := node.LoadConfig(func(name string) string { return map[string]string{"ROUTER_CONFIG": file}[name] })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx, c, node.Listeners{Clients: ln}, nil) }()
	defer func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	waitUntil(t, "readiness", func() bool {
		resp, err := client.Get("http://" + addr + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	rng := rand.New(rand.NewPCG(1, 1))
	revision, _ := r.Change(w.NextChange(rng))
	waitUntil(t, "the change's way to the node", func() bool { return r.Stats()[0].Deltas > 0 })
	class, tenant := w.DrawRequest(rng)
	sent := 0
	waitUntil(t, "an answer", func() bool { // a busy machine may miss the class's deadline
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/api", nil)
		if err != nil {
			t.Fatal(err)
		}
		sent++
		for name, value := range map[string]string{"X-Request-Id": fmt.Sprint("r", sent), "X-Class": class,
			"X-Tenant": tenant, "X-Deadline-Ms": "1000"} {
			req.Header.Set(name, value)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK && strings.HasPrefix(string(body), `{"held_us":`)
	})
	if s := tr.Stats(); revision != 2 || s.Requests < 1 || s.Reached < 1 {
		t.Errorf("revision %d, %+v", revision, s)
	}
}
