package configfile

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
)

const sound = `accounts:
  a:
    weight: 2
    max_queued: 10
  b: {id: b, weight: 1, max_queued: 5}
guarantees:
  a.photos:
    account: a
    count: 2
    shape:
      tasks: 2
      topology: rack
      per_task: {accelerators: 8, cores: 32, memory_mb: 65536}
zones:
  Caruaru: in
  Quixada: out
weights:
  completion_time: 1
  fragmentation: 0.3
  work_in_zone_change: 0.2
`

func parse(t *testing.T, text string) *model.ConfigDocument {
	t.Helper()
	d, err := Parse("c.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestRenderedConfigurationIsReadBack(t *testing.T) {
	d := parse(t, sound)
	if d.Accounts["a"].ID != "a" || d.Guarantees["a.photos"].Name != "a.photos" {
		t.Errorf("names are not filled in: %+v", d)
	}
	text, err := Render(d, "first line", "")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(string(text), "# first line\n#\naccounts:") {
		t.Errorf("got %s", text)
	}
	if got := parse(t, string(text)); !reflect.DeepEqual(got, d) {
		t.Errorf("got %+v, want %+v", got, d)
	}
}

func TestParseRefuses(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unknown key", "max_queued: 10", "max_waiting: 10", `c.yaml:4: unknown field "max_waiting"`},
		{"weight", "weight: 2", "weight: 0", "c.yaml:3: accounts.'a': The weight of account a is 0"},
		{"other ID", "id: b", "id: c", `the account's ID is "c"`},
		{"unknown account", "account: a", "account: z", `c.yaml:8: guarantees.'a.photos': account "z" is not in this file`},
		{"shape", "tasks: 2", "tasks: 300", "c.yaml:8: guarantees.'a.photos': The shape has 300 tasks"},
		{"zone", "Quixada: out", "Quixada: half", `c.yaml:16: zones.'Quixada': "half" is neither in nor out`},
		{"weights", "completion_time: 1", "completion_time: 2", "c.yaml:18: weights.completion_time: 2 does not lie"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("c.yaml", []byte(strings.Replace(sound, c.old, c.replacement, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestChangesLeadToTheWantedConfiguration(t *testing.T) {
	inForce := parse(t, sound)
	inForce.ObjectVersions = map[string]model.ConfigVersion{"account/b": 3, "guarantee/a.photos": 5, "zone/Caruaru": 7}
	wanted := parse(t, strings.NewReplacer("max_queued: 10", "max_queued: 11", "Caruaru: in", "Caruaru: out",
		"a.photos", "a.scores", "  b: {id: b, weight: 1, max_queued: 5}\n", "  c: {weight: 4, max_queued: 1}\n",
		"0.3", "0.4").Replace(sound))
	describe := func(changes []model.ConfigChange) (out []string) {
		for _, c := range changes {
			c.ID = "c1"
			body, err := json.Marshal(c)
			if err != nil {
				t.Fatal(err)
			}
			if _, refusal := operatorapi.DecodeChange(body); refusal != nil {
				t.Errorf("%s is refused: %v", c.Object, refusal)
			}
			out = append(out, c.Object)
		}
		return out
	}
	got := strings.Join(describe(Changes(inForce, wanted, false)), " ")
	if want := "account/a account/c zone/Caruaru guarantee/a.scores weights"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	pruned := Changes(inForce, wanted, true)
	got = strings.Join(describe(pruned), " ")
	if want := "account/a account/c zone/Caruaru guarantee/a.photos guarantee/a.scores weights account/b"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	for _, c := range pruned {
		if want := inForce.ObjectVersions[c.Object]; c.ExpectedVersion != want {
			t.Errorf("%s expects version %d, want %d", c.Object, c.ExpectedVersion, want)
		}
	}
	if again := Changes(inForce, inForce, true); len(again) != 0 {
		t.Errorf("got %d changes between equal configurations", len(again))
	}
}

func TestDescribe(t *testing.T) {
	d := parse(t, sound)
	var lines []string
	for _, c := range Changes(&model.ConfigDocument{}, d, false) {
		lines = append(lines, Describe(c))
	}
	lines = append(lines, Describe(model.ConfigChange{Object: "zone/z", Delete: true}))
	want := []string{
		"account/a: weight 2, max_queued 10", "account/b: weight 1, max_queued 5", "zone/Caruaru: in", "zone/Quixada: out",
		"guarantee/a.photos: 2 x (2 tasks of 8 accelerators, 32 cores, 65536 MB; topology rack) for account a",
		"weights: completion_time 1, fragmentation 0.3, work_in_zone_change 0.2", "delete zone/z",
	}
	if !reflect.DeepEqual(lines, want) {
		t.Errorf("got %q", lines)
	}
}
