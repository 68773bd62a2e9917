package main

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func TestSeeds(t *testing.T) {
	for text, want := range map[string]int{"": 1, "3..3": 1, "3..12": 10, "12..3": 0, "a..b": 0, "5": 0, "1..5000": 0} {
		seeds, err := command{Seed: 7, Seeds: text}.seeds()
		if len(seeds) != want || (err != nil) != (want == 0) {
			t.Errorf("%q: %v, %v", text, seeds, err)
		}
		if err != nil && !strings.HasPrefix(err.Error(), "seeds: ") {
			t.Errorf("%q: error %v does not name the field", text, err)
		}
	}
}

// Checks that the same seed prints the same plan, and that the error for an invalid option names it.
func TestRunPrintsPlans(t *testing.T) {
	c := command{Seed: 3, Duration: time.Minute, Nodes: 24, Servers: 10, Parallel: 1, Plan: true}
	var first, second bytes.Buffer
	if err := c.Run(&first); err != nil {
		t.Fatal(err)
	}
	if err := c.Run(&second); err != nil || first.String() != second.String() {
		t.Errorf("error %v, or the second print differs from the first", err)
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
		invalid := c
		change(&invalid)
		if err := invalid.Run(&first); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("error %v, want one that begins with %q", err, field)
		}
	}
}
