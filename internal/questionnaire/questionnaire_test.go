package questionnaire

import (
	"bytes"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"dragonflyyard/internal/configfile"
	"dragonflyyard/internal/settings"
)

const samples = "../../samples/"

func readAnswers(t *testing.T, region string) ([]byte, Answers) {
	t.Helper()
	data, err := os.ReadFile(samples + "answers-" + region + ".yaml")
	if err != nil {
		t.Fatal(err)
	}
	a, err := Parse("answers.yaml", data)
	if err != nil {
		t.Fatal(err)
	}
	return data, a
}

func TestSamplesGenerateTheirConfigurations(t *testing.T) {
	for _, region := range []string{"nordeste", "kyushu"} {
		t.Run(region, func(t *testing.T) {
			_, a := readAnswers(t, region)
			file, err := ConfigurationFile(a)
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t, goldie.WithFixtureDir(samples), goldie.WithNameSuffix(".yaml")).Assert(t, "config-"+region, file)
			d, err := configfile.Parse("config.yaml", file)
			if err != nil {
				t.Fatalf("config set refuses it: %v", err)
			}
			if !reflect.DeepEqual(d, Generate(a)) {
				t.Errorf("got %+v, want %+v", d, Generate(a))
			}
			if len(a.Accounts) != 4 {
				t.Errorf("got %d client accounts", len(a.Accounts))
			}
			checkFleet(t, region, a)
		})
	}
}

// checkFleet holds the answers to the sample deployment of the same region.
func checkFleet(t *testing.T, region string, a Answers) {
	t.Helper()
	d, err := settings.LoadDeployment(samples + region + ".yaml")
	if err != nil {
		t.Fatal(err)
	}
	if d.Region != a.Region || !reflect.DeepEqual(d.Zones, a.Zones) || d.Agents != a.Fleet.Workers ||
		d.Worker != a.Fleet.Worker || d.WorkersPerRack != a.Fleet.WorkersPerRack || d.Answers != "answers-"+region+".yaml" {
		t.Errorf("answers %+v do not fit deployment %+v", a, d)
	}
}

func TestContradictoryAnswersAreRefused(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unknown key", "  workers: 11", "  machines: 11", `unknown field "machines"`},
		{"no zone", "zones: [Caruaru, Garanhuns, Quixada]", "zones: []", "zones: 0 is out of range (allowed: 1 to 42)"},
		{"zone twice", "Garanhuns", "Caruaru", `the name "Caruaru" is used twice`},
		{"fewer workers than zones", "workers: 11", "workers: 2", "answers.yaml:9: fleet.workers: 2 workers leave some of the 3 zones without one"},
		{"ranking", "completion_time, fragmentation", "completion_time, completion_time", "each once"},
		{"worker", "    cores: 64", "    cores: 0", "a worker has 0 to 64 accelerators"},
		{"account twice", "id: producers", "id: judges", `the name "judges" is used twice`},
		{"share", "share: 4", "share: 0", "accounts[0].share: 0 is out of range (allowed: 1 to 1000)"},
		{"adjacent", "adjacent: rack", "adjacent: row", `"row" is not a topology (allowed: rack, zone, any)`},
		{"run time", "run_time: 40m", "run_time: 0s", "run_time: 0s is out of range"},
		{"not a duration", "run_time: 40m", "run_time: long", `accounts[0].work[0].run_time: time: invalid duration "long"`},
		{"negative deadline", "needed_within: 2h", "needed_within: -2h", "needed_within: -2h0m0s is out of range"},
		{"deadline before the end", "needed_within: 2h", "needed_within: 30m", "work that runs for 40m0s cannot be done within 30m0s"},
		{"urgent without guarantee", "guaranteed_at_once: 2\n        may_borrow: true\n        urgent: true", "guaranteed_at_once: 0\n        may_borrow: true\n        urgent: true", "urgent work needs a guarantee"},
		{"never runs", "guaranteed_at_once: 0\n        may_borrow: true", "guaranteed_at_once: 0\n        may_borrow: false", "can never run"},
		{"larger than a rack", "tasks: 2", "tasks: 4", "the largest rack has room for 3 of these tasks at once, the work needs 4"},
		{"larger than a zone", "tasks: 4", "tasks: 9", "the largest zone has room for 8 of these tasks at once, the work needs 9"},
		{"larger than a worker", "accelerators: 8\n        cores: 32", "accelerators: 9\n        cores: 32", "has room for 0 of these tasks"},
		{"more than the fleet", "guaranteed_at_once: 1", "guaranteed_at_once: 5", "the guarantees do not fit on the fleet together: judges.rind-photo-scoring#"},
		{"more racks than there are", "guaranteed_at_once: 1", "guaranteed_at_once: 4", "the guarantees do not fit on the fleet together"},
		{"more than two zones", "guaranteed_at_once: 1", "guaranteed_at_once: 3", "without zone Caruaru there is no room for"},
		{"too many jobs", "guaranteed_at_once: 1", "guaranteed_at_once: 20000", "20005 jobs are guaranteed in all (allowed: at most 20000)"},
	}
	data, _ := readAnswers(t, "nordeste")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(string(data), c.old, c.replacement, 1)
			if text == string(data) {
				t.Fatalf("the sample does not hold %q", c.old)
			}
			_, err := Parse("answers.yaml", []byte(text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestSurvivalOfTheOnlyZoneIsRefused(t *testing.T) {
	_, a := readAnswers(t, "nordeste")
	a.Zones = a.Zones[:1]
	findings := Check(a)
	if len(findings) == 0 || findings[0].Key != "survive_zone_loss" {
		t.Errorf("got %+v", findings)
	}
}

func TestAskReadsWhatWasAnswered(t *testing.T) {
	input := strings.Join([]string{
		"kyushu", "Fukuoka, Kumamoto", "4", "", "", "", "", "no", "",
		"technicians", "many", "2", "50",
		"", "quote", "", "1", "4", "8192", "", "", "maybe", "", "yes", "soon", "30s", "2m",
		"no", "no",
	}, "\n") + "\n"
	var out bytes.Buffer
	a, err := Ask(strings.NewReader(input), &out)
	if err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if findings := Check(a); len(findings) != 0 {
		t.Errorf("refused: %+v", findings)
	}
	want := Work{Name: "quote", Tasks: 1, Accelerators: 1, Cores: 4, MemoryMB: 8192, Adjacent: "any",
		GuaranteedAtOnce: 1, MayBorrow: true, Urgent: true, RunTime: 30 * time.Second, NeededWithin: 2 * time.Minute}
	if len(a.Accounts) != 1 || a.Accounts[0].Share != 2 || len(a.Accounts[0].Work) != 1 || a.Accounts[0].Work[0] != want {
		t.Errorf("got %+v", a.Accounts)
	}
	for _, text := range []string{`"many" is not a whole number.`, `"maybe" is not yes or no.`, `"soon" is not a duration`} {
		if !strings.Contains(out.String(), text) {
			t.Errorf("the output has no %q", text)
		}
	}
}

func TestAskEndsWithTheInput(t *testing.T) {
	for _, input := range []string{"", "kyushu\n", "kyushu\nFukuoka\nmany\n"} {
		if _, err := Ask(strings.NewReader(input), &bytes.Buffer{}); !errors.Is(err, ErrInputEnded) {
			t.Errorf("input %q: got %v", input, err)
		}
	}
}

func FuzzAnswers(f *testing.F) {
	for _, region := range []string{"nordeste", "kyushu"} {
		data, err := os.ReadFile(samples + "answers-" + region + ".yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("accounts: [{work: [{}]}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Parse("answers.yaml", data)
		if err != nil {
			return
		}
		file, err := ConfigurationFile(a)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := configfile.Parse("config.yaml", file); err != nil {
			t.Errorf("accepted answers lead to a refused configuration: %v\n%s", err, file)
		}
	})
}
