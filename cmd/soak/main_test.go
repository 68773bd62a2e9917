package main

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func TestSeedsAreRead(t *testing.T) {
	for text, want := range map[string]int{"": 1, "3..3": 1, "3..12": 10, "12..3": 0, "a..b": 0, "5": 0, "1..5000": 0} {
		seeds, err := command{Seed: 7, Seeds: text}.seeds()
		if len(seeds) != want || (err != nil) != (want == 0) {
			t.Errorf("%q: %v, %v", text, seeds, err)
		}
		if err != nil && !strings.HasPrefix(err.Error(), "seeds: ") {
			t.Errorf("%q: %v does not name the field", text, err)
		}
	}
}

// A plan is printed the same each time, and bad input names its field and plays nothing.
func TestPlansArePrinted(t *testing.T) {
	c := command{Seed: 3, Duration: time.Minute, Nodes: 24, Servers: 10, Parallel: 1, Plan: true}
	var first, again bytes.Buffer
	if err := c.Run(&first); err != nil {
		t.Fatal(err)
	}
	if err := c.Run(&again); err != nil || first.String() != again.String() {
		t.Errorf("%v; printed twice, a plan differs", err)
	}
	if !strings.HasPrefix(first.String(), "seed 3: ") || strings.Count(first.String(), "\n") < 10 {
		t.Errorf("printed %.200q", first.String())
	}
	for field, change := range map[string]func(*command){
		"faults: ":   func(c *command) { c.Faults = "hang,nothing" },
		"parallel: ": func(c *command) { c.Parallel = 0 },
		"nodes: ":    func(c *command) { c.Nodes = 0 },
		"seeds: ":    func(c *command) { c.Seeds = "x" },
	} {
		bad := c
		change(&bad)
		if err := bad.Run(&first); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%v, want one that begins with %q", err, field)
		}
	}
}
