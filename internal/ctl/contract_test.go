package ctl

import (
	"fmt"
	"testing"

	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/standin"
)

// contractID is the request of these tests.
const contractID = "0190a000-0000-7000-8000-000000000001"

// command is one command line with what it may say after a failure.
type command struct {
	name string
	args []string
	// reads is set for commands that change nothing.
	reads bool
}

func contractCommands() []command {
	job := []string{"job", "submit", "--id", "j1", "--account", "a"}
	return []command{
		{"job submit", job, false},
		{"job cancel", []string{"job", "cancel", "j1"}, false},
		{"zone out", []string{"--wait", "1s", "zone", "out", "--expected-version", "1", "Caruaru"}, false},
		{"request send", []string{"request", "send", "--id", contractID, "--account", "a"}, false},
		{"job list", []string{"job", "list"}, true},
		{"job explain", []string{"job", "explain", "j1"}, true},
		{"config get", []string{"config", "get"}, true},
		{"guarantee check", []string{"guarantee", "check"}, true},
		{"request status", []string{"request", "status", "--account", "a", contractID}, true},
	}
}

// TestAnswersThatTellNothing gives each command an answer from which nothing
// can be learned: a command that may have changed something says that it is in
// doubt, one that only reads that it got nothing.
func TestAnswersThatTellNothing(t *testing.T) {
	outcome := callerapi.HeaderOutcome + ": answered\r\n"
	answers := []struct {
		name   string
		answer func(standin.RawCall) bool
	}{
		{"closed before the answer", standin.ThenCut("")},
		{"reset", standin.RawCall.Reset},
		{"cut in the header", standin.ThenCut("HTTP/1.1 200 x\r\nConte")},
		{"cut in the body", standin.ThenCut("HTTP/1.1 200 x\r\n" + outcome + "Content-Length: 99\r\n\r\n{\"job\":")},
		{"no length told, closed", standin.ThenCut("HTTP/1.1 200 x\r\n" + outcome + "\r\n{\"jo")},
		{"not HTTP", standin.ThenCut("hello\r\n\r\n")},
		{"oversized", standin.Always("HTTP/1.1 200 x\r\nContent-Length: 99999999999\r\n\r\n")},
		{"not JSON", standin.Always(standin.Whole(200, "", "<html>"))},
		{"empty", standin.Always(standin.Whole(200, "", ""))},
		{"an empty object", standin.Always(standin.Whole(200, "", "{}"))},
		{"another call's answer", standin.Always(standin.Whole(200, outcome+callerapi.HeaderRequestID+": other\r\n",
			`{"job":{"id":"other"},"change":"other","status":"accepted"}`))},
		{"created, not JSON", standin.Always(standin.Whole(201, "", "x"))},
		{"redirected", standin.Always(standin.Whole(302, "Location: /other\r\n", ""))},
		{"internal error", standin.Always(standin.Whole(500, "", "x"))},
		{"bad gateway", standin.Always(standin.Whole(502, "", "x"))},
		{"gateway timed out", standin.Always(standin.Whole(504, "", "x"))},
		{"status out of range", standin.Always(standin.Whole(999, "", "x"))},
	}
	for _, a := range answers {
		for _, c := range contractCommands() {
			t.Run(fmt.Sprint(c.name, ", ", a.name), func(t *testing.T) {
				t.Parallel()
				server, err := standin.NewRawServer(a.answer)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(server.Close)
				want := ExitInDoubt
				if c.reads {
					want = ExitNotAccepted
				}
				r := runCtl(t, "", []string{server.Address()}, c.args...)
				if r.code != want {
					t.Errorf("exit code %d, want %d; printed %q, %q", r.code, want, r.out, r.errOut)
				}
				if r.out != "" {
					t.Errorf("printed %q", r.out)
				}
				if server.Calls() == 0 {
					t.Error("nothing was called")
				}
			})
		}
	}
}

// TestNoConnectionChangesNothing wants every command to say so.
func TestNoConnectionChangesNothing(t *testing.T) {
	for _, c := range contractCommands() {
		if r := runCtl(t, "", []string{closedAddress}, c.args...); r.code != ExitNotAccepted || r.out != "" {
			t.Errorf("%s: exit code %d, printed %q, %q", c.name, r.code, r.out, r.errOut)
		}
	}
}

// TestSilentEntryHostIsLeftForTheNext bounds the wait for an entry host that
// takes a call and never answers.
func TestSilentEntryHostIsLeftForTheNext(t *testing.T) {
	for _, c := range contractCommands() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server, err := standin.NewRawServer(standin.Always(""))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			args := append([]string{"--timeout", "100ms"}, c.args...)
			if c.name == "request send" {
				args = append(args, "--deadline", "1ms")
			}
			want := ExitInDoubt
			if c.reads {
				want = ExitNotAccepted
			}
			if r := runCtl(t, "", []string{server.Address(), closedAddress}, args...); r.code != want || r.out != "" {
				t.Errorf("exit code %d, want %d; printed %q, %q", r.code, want, r.out, r.errOut)
			}
		})
	}
}
