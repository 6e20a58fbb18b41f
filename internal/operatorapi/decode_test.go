package operatorapi

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func TestDecodeChange(t *testing.T) {
	cases := []struct{ name, body, code string }{
		{"zone", `{"id":"c1","object":"zone/Caruaru","zone":"out","expected_version":3,"operator":"ana"}`, ""},
		{"account", `{"id":"c1","object":"account/a","account":{"id":"a","weight":2,"max_queued":5}}`, ""},
		{"guarantee", `{"id":"c1","object":"guarantee/g","guarantee":{"name":"g","account":"a","count":1,"shape":{"tasks":2,"topology":"rack","per_task":{"accelerators":8,"cores":8,"memory_mb":1024}}}}`, ""},
		{"weights", `{"id":"c1","object":"weights","weights":{"completion_time":1,"fragmentation":0.5,"work_in_zone_change":0}}`, ""},
		{"deletion", `{"id":"c1","object":"account/a","delete":true}`, ""},
		{"not JSON", `{"id":`, CodeMalformedJSON},
		{"empty", ``, CodeMalformedJSON},
		{"two values", `{"id":"c1","object":"zone/z","zone":"in"}{}`, CodeMalformedJSON},
		{"unknown field", `{"id":"c1","object":"zone/z","zone":"in","colour":1}`, CodeMalformedJSON},
		{"too large", `"` + strings.Repeat("x", MaxBodyBytes) + `"`, CodeTooLarge},
		{"no ID", `{"object":"zone/z","zone":"in"}`, CodeBadID},
		{"ID with slash", `{"id":"a/b","object":"zone/z","zone":"in"}`, CodeBadID},
		{"no zone name", `{"id":"c1","object":"zone/","zone":"in"}`, CodeBadID},
		{"other object", `{"id":"c1","object":"rack/r","zone":"in"}`, CodeBadObject},
		{"value of another kind", `{"id":"c1","object":"account/a","zone":"in"}`, CodeBadObject},
		{"account of another ID", `{"id":"c1","object":"account/a","account":{"id":"b","weight":1}}`, CodeBadObject},
		{"guarantee of another name", `{"id":"c1","object":"guarantee/g","guarantee":{"name":"h"}}`, CodeBadObject},
		{"zone state", `{"id":"c1","object":"zone/z","zone":"half"}`, CodeBadValue},
		{"two values set", `{"id":"c1","object":"zone/z","zone":"in","weights":{}}`, CodeBadValue},
		{"no value", `{"id":"c1","object":"zone/z"}`, CodeBadValue},
		{"deletion with value", `{"id":"c1","object":"zone/z","zone":"in","delete":true}`, CodeBadValue},
		{"weights deleted", `{"id":"c1","object":"weights","delete":true}`, CodeBadObject},
		{"weight out of range", `{"id":"c1","object":"weights","weights":{"completion_time":1.1}}`, CodeBadValue},
		{"account weight", `{"id":"c1","object":"account/a","account":{"id":"a","weight":0}}`, CodeBadValue},
		{"negative queue", `{"id":"c1","object":"account/a","account":{"id":"a","weight":1,"max_queued":-1}}`, CodeBadValue},
		{"version given", `{"id":"c1","object":"zone/z","zone":"in","version":9}`, CodeBadValue},
		{"count", `{"id":"c1","object":"guarantee/g","guarantee":{"name":"g","account":"a","count":0}}`, CodeBadValue},
		{"no shape", `{"id":"c1","object":"guarantee/g","guarantee":{"name":"g","account":"a","count":1}}`, CodeBadShape},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := DecodeChange([]byte(c.body))
			checkCode(t, err, c.code)
		})
	}
}

func checkCode(t *testing.T, err *InputError, want string) {
	t.Helper()
	switch {
	case err == nil && want != "":
		t.Errorf("accepted, want %s", want)
	case err != nil && err.Code != want:
		t.Errorf("got %v, want %q", err, want)
	case err != nil && !strings.HasSuffix(err.Sentence, "."):
		t.Errorf("%q is not a sentence", err.Sentence)
	}
}

func validJob() JobRequest {
	return JobRequest{ID: "j1", Account: "a", DeclaredRunTimeMS: 1000, Capacity: model.CapacityBorrowed,
		Deadline: noon.Add(time.Hour),
		Shape: model.Shape{Tasks: 2, Topology: model.TopologyRack,
			PerTask: model.Resources{Accelerators: 8, Cores: 8, MemoryMB: 1024}}}
}

func TestDecodeJob(t *testing.T) {
	cases := []struct {
		name   string
		change func(*JobRequest)
		code   string
	}{
		{"valid", func(*JobRequest) {}, ""},
		{"no deadline", func(r *JobRequest) { r.Deadline = time.Time{} }, ""},
		{"no ID", func(r *JobRequest) { r.ID = "" }, CodeBadID},
		{"ID with blank", func(r *JobRequest) { r.ID = "a b" }, CodeBadID},
		{"no account", func(r *JobRequest) { r.Account = "" }, CodeBadID},
		{"deadline passed", func(r *JobRequest) { r.Deadline = noon }, CodeBadDeadline},
		{"no run time", func(r *JobRequest) { r.DeclaredRunTimeMS = 0 }, CodeBadValue},
		{"run time overflows", func(r *JobRequest) { r.DeclaredRunTimeMS = 1 << 62 }, CodeBadValue},
		{"capacity", func(r *JobRequest) { r.Capacity = "stolen" }, CodeBadValue},
		{"class too long", func(r *JobRequest) { r.JobClass = strings.Repeat("x", MaxIDBytes+1) }, CodeBadValue},
		{"no tasks", func(r *JobRequest) { r.Shape.Tasks = 0 }, CodeBadShape},
		{"too many tasks", func(r *JobRequest) { r.Shape.Tasks = model.MaxGangSize + 1 }, CodeBadShape},
		{"negative accelerators", func(r *JobRequest) { r.Shape.PerTask.Accelerators = -1 }, CodeBadShape},
		{"no memory", func(r *JobRequest) { r.Shape.PerTask.MemoryMB = 0 }, CodeBadShape},
		{"topology", func(r *JobRequest) { r.Shape.Topology = "moon" }, CodeBadShape},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := validJob()
			c.change(&request)
			body, err := json.Marshal(request)
			if err != nil {
				t.Fatal(err)
			}
			got, refusal := DecodeJob(body, noon)
			checkCode(t, refusal, c.code)
			if refusal == nil && (got.Job(noon).DeclaredRunTime != time.Second || got.Job(noon).Shape != request.Shape) {
				t.Errorf("got %+v", got.Job(noon))
			}
		})
	}
}

func TestDecodeCancel(t *testing.T) {
	many, _ := json.Marshal(CancelRequest{IDs: make([]model.JobID, MaxCancelIDs+1)})
	cases := []struct{ name, body, code string }{
		{"valid", `{"ids":["a","b"]}`, ""},
		{"none", `{"ids":[]}`, CodeBadValue},
		{"too many", string(many), CodeBadValue},
		{"bad ID", `{"ids":["a",""]}`, CodeBadID},
		{"not JSON", `[`, CodeMalformedJSON},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := DecodeCancel([]byte(c.body))
			checkCode(t, err, c.code)
		})
	}
}

func FuzzOperatorBodies(f *testing.F) {
	job, _ := json.Marshal(validJob())
	for _, seed := range []string{string(job), `{"ids":["a"]}`, `{"id":"c1","object":"zone/z","zone":"out"}`, `{`, `null`, `[[[[`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if c, err := DecodeChange(body); err == nil && (c.ID == "" || c.Object == "") {
			t.Errorf("accepted %+v", c)
		}
		if r, err := DecodeJob(body, noon); err == nil && (r.Shape.Tasks < 1 || r.Job(noon).DeclaredRunTime <= 0) {
			t.Errorf("accepted %+v", r)
		}
		if r, err := DecodeCancel(body); err == nil && len(r.IDs) == 0 {
			t.Errorf("accepted %+v", r)
		}
	})
}
