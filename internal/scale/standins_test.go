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

func TestNodeServesRequestsWithStandIns(t *testing.T) {
	transcribers, world := startTranscribers(t)
	defer transcribers.Close()
	registry, err := StartRegistry(RegistryConfig{Listeners: 1, Members: world.Members()})
	if err != nil {
		t.Fatal(err)
	}
	defer registry.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	raw, err := world.Config(0, addr, registry.Addresses()[0], 64)
	if err != nil {
		t.Fatal(err)
	}
	configFile := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(configFile, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := node.LoadConfig(func(name string) string { return map[string]string{"ROUTER_CONFIG": configFile}[name] })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx, config, node.Listeners{Clients: ln}, nil) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
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
	revision, _ := registry.Change(world.NextChange(rng))
	waitUntil(t, "the node to receive the change", func() bool { return registry.Stats()[0].Deltas > 0 })
	class, tenant := world.DrawRequest(rng)
	sent := 0
	waitUntil(t, "a successful response", func() bool { // a busy machine may miss the class's deadline
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
	if stats := transcribers.Stats(); revision != 2 || stats.Requests < 1 || stats.Reached < 1 {
		t.Errorf("got revision %d and transcriber stats %+v, want revision 2 and a request served", revision, stats)
	}
}
