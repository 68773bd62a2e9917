package node

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":KNOWN,"settings":SETTINGS}`

// configEnv writes a configuration file, with the member list and the settings filled in, and returns a function that
// looks up the environment variables for it.
func configEnv(t *testing.T, text string) func(string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text = strings.NewReplacer("KNOWN", memberListJSON("127.0.0.1:9"), "SETTINGS", testSettings).Replace(text)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return func(name string) string {
		return map[string]string{"ROUTER_CONFIG": path, "ROUTER_LISTEN": "127.0.0.1:1",
			"ROUTER_OPERATOR": "127.0.0.1:2"}[name]
	}
}

func TestLoadConfig(t *testing.T) {
	c, err := LoadConfig(configEnv(t, validConfig))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.1:1" || c.Operator != "127.0.0.1:2" || c.Discovery != "127.0.0.1:8500" || c.Seed != 0x8c1f30d27a5be964 ||
		c.MemoryMB != 192 || c.Sockets != 1024 || c.MaxOpen != 100 || c.ConnectTimeout != 2*time.Second ||
		len(c.Known.Members) != 1 || c.Known.Revision != 7 || c.Settings.Zone != "a" {
		t.Errorf("got %+v", c)
	}
	if size := c.discoveryConfig().MaxListSize; size != 48<<20 {
		t.Errorf("the list size limit is %d bytes, want a quarter of the memory", size)
	}
}

func TestInvalidConfigNamesTheField(t *testing.T) {
	if _, err := LoadConfig(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG") {
		t.Errorf("without ROUTER_CONFIG: %v", err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`, "seed"},
		{`"seed"`, `"other"`, "seed"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"sockets":1024`, `"sockets":"x"`, "limits.sockets"},
		{`"discovery":"127.0.0.1:8500"`, `"discovery":"nowhere"`, "discovery"},
		{`"known":KNOWN`, `"known":{"members":[]}`, "known: revision"},
		{`"known":KNOWN,`, ``, "known: missing"},
		{`,"settings":SETTINGS`, ``, "settings: missing"},
		{`SETTINGS`, `[]`, "settings"},
		{`SETTINGS`, `{"groupSize":1}`, "classes"},
		{`SETTINGS`, strings.Replace(testSettings, `"deadline":9000`, `"deadline":"x"`, 1), "services[0].deadline"},
		{`SETTINGS`, strings.Replace(testSettings, `"maxOpen":100`, `"maxOpen":-1`, 1), "maxOpen"},
		{`SETTINGS`, strings.Replace(testSettings, `"connectTimeout":2000`, `"connectTimeout":-1`, 1), "connectTimeout"},
		{`{`, ``, ""},
	} {
		_, err := LoadConfig(configEnv(t, strings.Replace(validConfig, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s instead of %s: got %v, want one line that names %q", c.new, c.old, err, c.want)
		}
	}
}

// The configuration is decoded as a stream, without a copy of its text: padding the text with spaces allocates hardly
// any more memory.
func TestConfigIsDecodedAsAStream(t *testing.T) {
	var members, tenants []string
	for i := range 500 {
		members = append(members, fmt.Sprintf(`PAD{"id":"s%d","host_port":"127.0.0.1:9","phase":"up"}`, i))
		tenants = append(tenants, fmt.Sprintf(`PAD{"name":"t%d","quotaRps":1}`, i))
	}
	text := strings.NewReplacer("KNOWN", `{"revision":1,"complete":true,"members":[`+strings.Join(members, ",")+`]}`, "SETTINGS",
		`{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600}],"tenants":[`+strings.Join(tenants, ",")+`]}`).Replace(validConfig)
	read := func(padding int) (size, allocated uint64) {
		raw := []byte(strings.ReplaceAll(text, "PAD", strings.Repeat(" ", padding)))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		c, err := ParseConfig(raw)
		runtime.ReadMemStats(&after)
		if err != nil || len(c.Known.Members) != 500 || len(c.Settings.Tenants) != 500 {
			t.Fatalf("%d members, %d tenants, %v", len(c.Known.Members), len(c.Settings.Tenants), err)
		}
		return uint64(len(raw)), after.TotalAlloc - before.TotalAlloc
	}
	shortSize, shortAlloc := read(0)
	if paddedSize, paddedAlloc := read(2000); paddedAlloc > shortAlloc+(paddedSize-shortSize)/4 {
		t.Errorf("decoding %d bytes allocated %d, and the same content padded to %d bytes allocated %d", shortSize, shortAlloc, paddedSize, paddedAlloc)
	}
}

// A configuration that is truncated anywhere, or followed by further data, is rejected.
func TestTruncatedOrTrailingConfigIsRejected(t *testing.T) {
	valid := strings.NewReplacer("KNOWN", memberListJSON("127.0.0.1:9"), "SETTINGS", testSettings).Replace(validConfig)
	if _, err := ParseConfig([]byte(valid + "\n")); err != nil {
		t.Fatal(err)
	}
	for i := range valid {
		if _, err := ParseConfig([]byte(valid[:i])); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("truncated after %q: %v", valid[:i], err)
		}
	}
	for _, trailing := range []string{"x", "{}", "}", "null"} {
		if _, err := ParseConfig([]byte(valid + trailing)); err == nil {
			t.Errorf("%q after the end was accepted", trailing)
		}
	}
}
