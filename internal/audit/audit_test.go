package audit

import "testing"

func TestCheckFindsEachBrokenPromise(t *testing.T) {
	good := Answer{Request: "r", Sent: "b", Status: 200, Outcome: "answered", Body: "b"}
	with := func(change func(*Answer)) Answer {
		a := good
		change(&a)
		return a
	}
	given := func(status int, outcome, retry string) Answer {
		return with(func(a *Answer) { a.Status, a.Outcome, a.RetryAfter, a.Body = status, outcome, retry, "" })
	}
	cases := []struct {
		name   string
		answer Answer
		starts int
		broken bool
	}{
		{"answered", good, 1, false},
		{"idempotent twice", with(func(a *Answer) { a.Idempotent = true }), 2, false},
		{"non-idempotent twice", good, 2, true},
		{"cut answer", with(func(a *Answer) { a.Body = "" }), 1, true},
		{"answered without a start", good, 0, true},
		{"answered with 202", with(func(a *Answer) { a.Status = 202 }), 1, true},
		{"not run", given(503, "not_run", "1"), 0, false},
		{"not run but started", given(503, "not_run", "1"), 1, true},
		{"not run, no time", given(503, "not_run", ""), 0, true},
		{"not run, other status", given(504, "not_run", "1"), 0, true},
		{"unknown and started", given(504, "unknown", "1"), 1, false},
		{"unknown, no time", given(504, "unknown", ""), 0, true},
		{"failed", given(502, "failed", ""), 1, false},
		{"in progress", given(202, "in_progress", "1"), 1, true},
		{"no outcome", given(500, "", ""), 0, true},
		{"connection failed", given(0, "", ""), 1, false},
		{"connection failed, started twice", given(0, "", ""), 2, true},
	}
	for _, c := range cases {
		problems := Check([]Answer{c.answer}, map[string]int{"r": c.starts})
		if (len(problems) > 0) != c.broken {
			t.Errorf("%s: got %q, broken %v", c.name, problems, c.broken)
		}
	}
	if kinds := Kinds([]Answer{good, good, {}}); kinds["answered"] != 2 || kinds[""] != 1 {
		t.Errorf("got %v", kinds)
	}
}
