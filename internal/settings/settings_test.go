package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
)

const samples = "../../samples/"

func readSample(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(samples + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// keysOf lists the last key of each setting of a struct type, by its path.
func keysOf(prefix string, typ reflect.Type) []string {
	for typ.Kind() == reflect.Slice {
		prefix += "[0]"
		typ = typ.Elem()
	}
	var keys []string
	for i := range typ.NumField() {
		field := typ.Field(i)
		key := strings.TrimPrefix(prefix+"."+field.Tag.Get("yaml"), ".")
		keys = append(keys, key)
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			keys = append(keys, keysOf(key, field.Type)...)
		}
	}
	return keys
}

func TestSamplesDecodeAndHoldEverySetting(t *testing.T) {
	cases := []struct {
		file string
		typ  reflect.Type
	}{
		{"entry.yaml", reflect.TypeFor[Entry]()},
		{"agent.yaml", reflect.TypeFor[Agent]()},
		{"standin.yaml", reflect.TypeFor[StandIn]()},
		{"nordeste.yaml", reflect.TypeFor[Deployment]()},
		{"kyushu.yaml", reflect.TypeFor[Deployment]()},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			target := reflect.New(c.typ).Interface()
			var doc *checker
			err := parse(samples+c.file, []byte(readSample(t, c.file)), target, func(made *checker) {
				doc = made
				made.any(target)
			})
			if err != nil {
				t.Fatal(err)
			}
			lines := strings.Split(readSample(t, c.file), "\n")
			for _, key := range keysOf("", c.typ) {
				if !doc.doc.Has(key) {
					t.Errorf("the sample has no %s", key)
				} else if !hasComment(lines, doc.doc.Line(key)) {
					t.Errorf("%s on line %d has no comment above it", key, doc.doc.Line(key))
				}
			}
		})
	}
}

// any checks settings of any of the types.
func (c *checker) any(target any) {
	switch s := target.(type) {
	case *Entry:
		c.entry(s)
	case *Agent:
		c.agent(s)
	case *StandIn:
		c.standIn(s)
	case *Deployment:
		c.deployment(s)
	}
}

// hasComment reports whether a comment or a blank line that opens a section
// precedes a line, with at most four keys of the same block between them.
func hasComment(lines []string, line int) bool {
	const farthest = 4
	for back := 2; back <= farthest+1 && line-back >= 0; back++ {
		text := strings.TrimSpace(lines[line-back])
		if strings.HasPrefix(text, "#") {
			return true
		}
		if text == "" {
			return back == 2
		}
	}
	return false
}

func TestSampleValuesAreTheDefaults(t *testing.T) {
	entry, err := LoadEntry(samples + "entry.yaml")
	if err != nil {
		t.Fatal(err)
	}
	def := DefaultEntry()
	if entry.Limits != def.Limits || entry.Timeouts != def.Timeouts || entry.Links != def.Links ||
		entry.Process != def.Process || entry.Store != def.Store {
		t.Errorf("entry.yaml differs from the defaults: %+v", entry)
	}
	agent, err := LoadAgent(samples + "agent.yaml")
	if err != nil {
		t.Fatal(err)
	}
	agentDef := DefaultAgent()
	if agent.Limits != agentDef.Limits || agent.Links != agentDef.Links || agent.Process != agentDef.Process ||
		agent.Worker.Poll != agentDef.Worker.Poll || agent.Worker.Grace != agentDef.Worker.Grace {
		t.Errorf("agent.yaml differs from the defaults: %+v", agent)
	}
}

func TestMinimalSettingsKeepTheDefaults(t *testing.T) {
	text := "id: e\nregion: r\nzone: z\nhttp_address: 127.0.0.1:1\nlink_address: 127.0.0.1:2\n" +
		"table_address: 127.0.0.1:3\nobject_store_address: 127.0.0.1:4\ntimeouts:\n  claim: 100ms\n"
	s, err := ParseEntry("e.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want := DefaultEntry().Timeouts
	want.Claim = s.Timeouts.Claim
	if s.Timeouts.Claim.Milliseconds() != 100 || s.Timeouts != want || s.Limits != DefaultEntry().Limits {
		t.Errorf("got %+v", s)
	}
}

func TestSettingsAreRefused(t *testing.T) {
	type parser func(string, []byte) error
	entry := func(n string, d []byte) error { _, err := ParseEntry(n, d); return err }
	agent := func(n string, d []byte) error { _, err := ParseAgent(n, d); return err }
	standIn := func(n string, d []byte) error { _, err := ParseStandIn(n, d); return err }
	deployment := func(n string, d []byte) error { _, err := ParseDeployment(n, d); return err }
	cases := []struct {
		name, file       string
		parse            parser
		old, replacement string
		want             string
	}{
		{"unknown key", "entry.yaml", entry, "  claim: 250ms", "  clam: 250ms", `unknown field "clam"`},
		{"missing address", "entry.yaml", entry, "table_address: 127.0.0.1:21000", "", "table_address: the address is missing (allowed: IP:port"},
		{"host name", "entry.yaml", entry, "http_address: 127.0.0.1:21002", "http_address: localhost:21002", `entry.yaml:12: http_address: "localhost:21002" is not an address (allowed: IP:port with a port of 1 to 65535)`},
		{"unspecified address", "entry.yaml", entry, "http_address: 127.0.0.1:21002", "http_address: 0.0.0.0:21002", `entry.yaml:12: http_address: "0.0.0.0:21002" names no host, and other processes are told this address (allowed: IP:port of one host, with a port of 1 to 65535)`},
		{"unspecified link address", "entry.yaml", entry, "link_address: 127.0.0.1:21003", "link_address: '[::]:21003'", `entry.yaml:14: link_address: "[::]:21003" names no host`},
		{"unspecified address of the other family", "entry.yaml", entry, "link_address: 127.0.0.1:21003", "link_address: '[::ffff:0.0.0.0]:21003'", "names no host"},
		{"multicast address", "entry.yaml", entry, "http_address: 127.0.0.1:21002", "http_address: 224.0.0.1:21002", "names no host"},
		{"unspecified agent address", "agent.yaml", agent, "http_address: 127.0.0.1:21008", "http_address: 0.0.0.0:21008", "http_address: \"0.0.0.0:21008\" names no host"},
		{"unspecified host", "nordeste.yaml", deployment, "host: 127.0.0.1", "host: 0.0.0.0", `host: "0.0.0.0" is not the IP address of one host`},
		{"port zero", "entry.yaml", entry, "http_address: 127.0.0.1:21002", "http_address: 127.0.0.1:0", "is not an address"},
		{"range", "entry.yaml", entry, "max_attempts: 3", "max_attempts: 11", "limits.max_attempts: 11 is out of range (allowed: 1 to 10)"},
		{"negative", "entry.yaml", entry, "max_requests: 4096", "max_requests: -1", "limits.max_requests: -1 is out of range"},
		{"permit too long", "entry.yaml", entry, "permit: 2s", "permit: 3s", "timeouts.permit: 3s is out of range (allowed: 100ms to 2.5s)"},
		{"number for duration", "entry.yaml", entry, "claim: 250ms", "claim: soon", `entry.yaml:55: timeouts.claim: time: invalid duration "soon"`},
		{"pair: silence", "entry.yaml", entry, "silence: 2s", "silence: 900ms", "contradicts links.silence of 900"},
		{"pair: head read", "entry.yaml", entry, "head_read: 250ms", "head_read: 2s", "timeouts.head_read: 2s contradicts timeouts.permit of 2s (allowed: less than timeouts.permit)"},
		{"pair: queue", "entry.yaml", entry, "max_queued_per_account: 512", "max_queued_per_account: 5000", "contradicts limits.max_requests of 4096"},
		{"pair: roster", "entry.yaml", entry, "entry_hosts: 8", "entry_hosts: 2", "2 contradicts 2 peers"},
		{"pair: store deadline", "entry.yaml", entry, "deadline: 1s", "deadline: 4s", "contradicts timeouts.lease"},
		{"own address as peer", "entry.yaml", entry, "peers: [127.0.0.1:21005", "peers: [127.0.0.1:21003", "own link_address"},
		{"peer twice", "entry.yaml", entry, "127.0.0.1:21007]", "127.0.0.1:21005]", "listed twice"},
		{"same address twice", "entry.yaml", entry, "link_address: 127.0.0.1:21003", "link_address: 127.0.0.1:21002", "is also that of http_address"},
		{"pair: drain", "entry.yaml", entry, "stop_timeout: 30s", "stop_timeout: 1s", "process.drain_delay: 1s contradicts process.stop_timeout of 1s"},
		{"log level", "entry.yaml", entry, "log_level: info", "log_level: loud", "(allowed: debug, info, warn, error)"},
		{"store share", "entry.yaml", entry, "region_writes_per_second: 200", "region_writes_per_second: 501", "(allowed: 1 to 500)"},
		{"name", "agent.yaml", agent, "id: nordeste-backend-1", "id: a/b", `"a/b" is not a name`},
		{"no entries", "agent.yaml", agent, "entries: [127.0.0.1:21003, 127.0.0.1:21005, 127.0.0.1:21007]", "entries: []", "0 addresses are given (allowed: 1 to 64 addresses)"},
		{"slots", "agent.yaml", agent, "slots: 8", "slots: 0", "backend_server.slots: 0 is out of range (allowed: 1 to 1024)"},
		{"pair: slots", "agent.yaml", agent, "slots: 8", "slots: 65", "65 contradicts backend_server.connections of 64"},
		{"pair: worker", "agent.yaml", agent, "  address: 127.0.0.1:21010\n", "", "the worker has an ID or a capacity but no address"},
		{"worker without cores", "agent.yaml", agent, "cores: 64", "cores: 0", "worker.capacity.cores: 0 is out of range"},
		{"pair: horizon", "agent.yaml", agent, "answer_ttl: 1m", "answer_ttl: 6m", "contradicts limits.horizon"},
		{"pair: bodies", "agent.yaml", agent, "max_partial_bytes: 33554432", "max_partial_bytes: 5", "contradicts limits.max_partial_bytes of 5"},
		{"stand-in twice", "standin.yaml", standIn, "127.0.0.1:21010", "127.0.0.1:21009", "is also that of backend_servers[0].address"},
		{"zone twice", "nordeste.yaml", deployment, "Garanhuns", "caruaru", "listed twice"},
		{"ports", "nordeste.yaml", deployment, "first_port: 21000", "first_port: 65530", "first_port: 65530 is out of range"},
		{"too many agents", "kyushu.yaml", deployment, "agents: 11", "agents: 65", "(allowed: 1 to 64)"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := readSample(t, c.file)
			changed := strings.Replace(text, c.old, c.replacement, 1)
			if changed == text {
				t.Fatalf("the sample does not hold %q", c.old)
			}
			err := c.parse(c.file, []byte(changed))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestStandInThatServesNothingIsRefused(t *testing.T) {
	if _, err := ParseStandIn("s.yaml", []byte("workers: []\n")); err == nil {
		t.Error("no error")
	}
}

func TestDeploymentSizesAndDerivedSettings(t *testing.T) {
	for _, name := range []string{"nordeste", "kyushu"} {
		t.Run(name, func(t *testing.T) {
			d, err := LoadDeployment(samples + name + ".yaml")
			if err != nil {
				t.Fatal(err)
			}
			if d.Agents != 11 || d.Slots != 8 || d.Connections != 64 || len(d.Zones) != 3 || d.Worker.Accelerators != 8 {
				t.Errorf("sizes: %+v", d)
			}
			racks := map[string]int{}
			for i := range d.Entries {
				reparse(t, d.EntrySettings(i), func(n string, b []byte) (Entry, error) { return ParseEntry(n, b) })
			}
			for i := range d.Agents {
				reparse(t, d.AgentSettings(i), func(n string, b []byte) (Agent, error) { return ParseAgent(n, b) })
				racks[string(d.AgentSettings(i).Rack)]++
			}
			for rack, workers := range racks {
				if workers > 3 {
					t.Errorf("rack %s has %d workers", rack, workers)
				}
			}
			reparse(t, d.StandInSettings(), func(n string, b []byte) (StandIn, error) { return ParseStandIn(n, b) })
		})
	}
}

// reparse checks that settings survive being written and read.
func reparse[T any](t *testing.T, want T, parse func(string, []byte) (T, error)) {
	t.Helper()
	data, err := yaml.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := parse("derived.yaml", data)
	if err != nil {
		t.Fatalf("%v\n%s", err, data)
	}
	if fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
