package settings

import (
	"os"
	"testing"

	"dragonflyyard/internal/permit"
	"dragonflyyard/internal/strictyaml"
)

// FuzzSettings wants that no file crashes a decoder, that each refusal names
// the file, and that accepted settings hold what the processes rely on.
func FuzzSettings(f *testing.F) {
	for _, name := range []string{"entry.yaml", "agent.yaml", "standin.yaml", "nordeste.yaml", "kyushu.yaml"} {
		data, err := os.ReadFile(samples + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, seed := range []string{"", "a: &x [*x]", "peers: [[", "links: {silence: 1s", "? {a: b}\n: c", "worker: {capacity: 8}", "id: !!binary x"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := ParseEntry("s.yaml", data)
		checkRefusal(t, err)
		if err == nil && (entry.TableAddress == "" || entry.Timeouts.Permit > permit.LongestValidity) {
			t.Errorf("accepted %+v", entry)
		}
		agent, err := ParseAgent("s.yaml", data)
		checkRefusal(t, err)
		if err == nil && (len(agent.Entries) == 0 || agent.BackendServer.Slots < 1) {
			t.Errorf("accepted %+v", agent)
		}
		_, err = ParseStandIn("s.yaml", data)
		checkRefusal(t, err)
		deployment, err := ParseDeployment("s.yaml", data)
		checkRefusal(t, err)
		if err == nil {
			deployment.EntrySettings(deployment.Entries - 1)
			deployment.AgentSettings(deployment.Agents - 1)
		}
	})
}

func checkRefusal(t *testing.T, err error) {
	t.Helper()
	if err == nil {
		return
	}
	problems, ok := err.(strictyaml.Problems)
	if !ok || len(problems) == 0 || problems[0].File != "s.yaml" || problems[0].Message == "" {
		t.Errorf("got %#v", err)
	}
}
