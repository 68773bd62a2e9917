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

const goodConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":KNOWN,"settings":SETTINGS}`

func configFile(t *testing.T, text string) func(string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text = strings.NewReplacer("KNOWN", knownList("127.0.0.1:9"), "SETTINGS", testSettings).Replace(text)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return func(name string) string {
		return map[string]string{"ROUTER_CONFIG": path, "ROUTER_LISTEN": "127.0.0.1:1",
			"ROUTER_OPERATOR": "127.0.0.1:2"}[name]
	}
}

func TestLoadsConfig(t *testing.T) {
	c, err := LoadConfig(configFile(t, goodConfig))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.1:1" || c.Operator != "127.0.0.1:2" || c.Discovery != "127.0.0.1:8500" || c.Seed != 0x8c1f30d27a5be964 ||
		c.MemoryMB != 192 || c.Sockets != 1024 || c.MaxOpen != 100 || c.ConnectTimeout != 2*time.Second ||
		len(c.Known.Members) != 1 || c.Known.Revision != 7 || c.Settings.Zone != "a" {
		t.Errorf("got %+v", c)
	}
	if most := c.discoveryConfig().MaxListSize; most != 48<<20 {
		t.Errorf("lists of up to %d bytes are taken, want a quarter of the memory", most)
	}
}

func TestBadConfigNamesTheField(t *testing.T) {
	if _, err := LoadConfig(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG") {
		t.Errorf("no file: %v", err)
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
		_, err := LoadConfig(configFile(t, strings.Replace(goodConfig, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: got %v, want one line that names %q", c.new, c.old, err, c.want)
		}
	}
}

// The text of a configuration isn't held beside what is kept of it: longer text of the same costs no memory.
func TestConfigIsReadAsAStream(t *testing.T) {
	var members, tenants []string
	for i := range 500 {
		members = append(members, fmt.Sprintf(`PAD{"id":"s%d","host_port":"127.0.0.1:9","phase":"up"}`, i))
		tenants = append(tenants, fmt.Sprintf(`PAD{"name":"t%d","quotaRps":1}`, i))
	}
	text := strings.NewReplacer("KNOWN", `{"revision":1,"complete":true,"members":[`+strings.Join(members, ",")+`]}`, "SETTINGS",
		`{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600}],"tenants":[`+strings.Join(tenants, ",")+`]}`).Replace(goodConfig)
	read := func(pad int) (size, took uint64) {
		raw := []byte(strings.ReplaceAll(text, "PAD", strings.Repeat(" ", pad)))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		c, err := ParseConfig(raw)
		runtime.ReadMemStats(&after)
		if err != nil || len(c.Known.Members) != 500 || len(c.Settings.Tenants) != 500 {
			t.Fatalf("%d members, %d tenants, %v", len(c.Known.Members), len(c.Settings.Tenants), err)
		}
		return uint64(len(raw)), after.TotalAlloc - before.TotalAlloc
	}
	short, costs := read(0)
	if long, more := read(2000); more > costs+(long-short)/4 {
		t.Errorf("%d bytes of text took %d, and %d bytes of the same %d", short, costs, long, more)
	}
}

// What was cut off anywhere, or goes on after its end, is no configuration.
func TestConfigIsReadWholeOrNotAtAll(t *testing.T) {
	good := strings.NewReplacer("KNOWN", knownList("127.0.0.1:9"), "SETTINGS", testSettings).Replace(goodConfig)
	if _, err := ParseConfig([]byte(good + "\n")); err != nil {
		t.Fatal(err)
	}
	for i := range good {
		if _, err := ParseConfig([]byte(good[:i])); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("cut off after %q: %v", good[:i], err)
		}
	}
	for _, more := range []string{"x", "{}", "}", "null"} {
		if _, err := ParseConfig([]byte(good + more)); err == nil {
			t.Errorf("%q after the end is taken", more)
		}
	}
}
