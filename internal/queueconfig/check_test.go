package queueconfig

import (
	"strings"
	"testing"
	"time"
)

func soundConfig() *Config {
	c := New(2, []Queue{
		{Name: "a", Host: "h", PathPrefix: "/a/", Service: "s", MaxAttempts: 2, SlackFactor: 2},
		{Name: "b", Host: "h", PathPrefix: "/b/", Service: "s", Priority: 1, MaxAttempts: 2, TargetDuration: time.Second},
	}, []Account{{"t", []string{"k1", "k2"}, 8}, {"u", []string{"k3"}, 0}}, 1<<20)
	c.Services = []string{"s"}
	return c
}

// Guards against a mistake in routing or limits that is only seen when callers are turned
// away, and against alarms about a configuration that is sound.
func TestCheckNamesEachMistake(t *testing.T) {
	if found := Check(soundConfig(), Capacity{Accelerators: 8}); len(found) > 0 {
		t.Errorf("a sound configuration: %+v", found)
	}
	for _, c := range []struct {
		name  string
		spoil func(*Config)
		field Field
		index int
		wrong bool
	}{
		{"hidden by an earlier queue", func(c *Config) { c.Queues[1].PathPrefix = "/a/" }, FieldPathPrefix, 1, true},
		{"inside another path", func(c *Config) { c.Queues[1].PathPrefix = "/a/b/" }, FieldPathPrefix, 1, false},
		{"no slash", func(c *Config) { c.Queues[0].PathPrefix = "a/" }, FieldPathPrefix, 0, true},
		{"same name", func(c *Config) { c.Queues[1].Name = "a" }, FieldName, 1, true},
		{"no host", func(c *Config) { c.Queues[0].Host = "" }, FieldHost, 0, true},
		{"no such service", func(c *Config) { c.Queues[1].Service = "x" }, FieldService, 1, true},
		{"service without a queue", func(c *Config) { c.Services = append(c.Services, "x") }, "", 1, false},
		{"negative attempts", func(c *Config) { c.Queues[0].MaxAttempts = -1 }, FieldMaxAttempts, 0, true},
		{"objective that no job meets", func(c *Config) { c.Queues[0].SlackFactor = 0.5 }, FieldObjective, 0, false},
		{"key of two accounts", func(c *Config) { c.Accounts[1].Keys = []string{"k1"} }, FieldKeys, 0, true},
		{"no key", func(c *Config) { c.Accounts[1].Keys = nil }, FieldKeys, 1, false},
		{"same account", func(c *Config) { c.Accounts[1].ID = "t" }, FieldName, 1, true},
		{"guarantees above capacity", func(c *Config) { c.Accounts[1].GuaranteedAccelerators = 1 }, FieldGuaranteed, 0, true},
		{"guarantee that no queue claims", func(c *Config) { c.Queues[0].Priority = 1 }, FieldGuaranteed, 0, false},
		{"keys without effect", func(c *Config) { c.Queues[0].Anonymous, c.Queues[1].Anonymous = true, true }, FieldAnonymous, 0, false},
		{"bodies smaller than a spec", func(c *Config) { c.MaxBodyBytes = 100 }, FieldBodyBytes, 0, false},
	} {
		config := soundConfig()
		c.spoil(config)
		found := Check(config, Capacity{Accelerators: 8})
		if len(found) != 1 || found[0].Field != c.field || found[0].Index != c.index || found[0].Wrong != c.wrong {
			t.Errorf("%s: %+v, want one finding on %q of entry %d, wrong %v", c.name, found, c.field, c.index, c.wrong)
		}
	}
}

// Guards against a change that goes into force unseen, and against keys on a terminal.
func TestDiffNamesEachChange(t *testing.T) {
	before, after := soundConfig(), soundConfig()
	if changes := Diff(before, after); len(changes) > 0 {
		t.Errorf("the same configuration: %+v", changes)
	}
	after = New(3, append(after.Queues[:1:1], Queue{Name: "c"}), []Account{{"t", []string{"k1", "k9"}, 16}, {"u", []string{"k3"}, 0}}, 1<<20)
	after.Services = []string{"s", "x"}
	var got []string
	for _, c := range Diff(before, after) {
		got = append(got, string(c.Object)+" "+c.Name)
		if strings.Contains(c.Before+c.After, "k9") {
			t.Errorf("a key is shown: %+v", c)
		}
	}
	if want := "queue b,queue c,service x,account t,account t"; strings.Join(got, ",") != want {
		t.Errorf("changes of %s, want %s", strings.Join(got, ","), want)
	}
}
