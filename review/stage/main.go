//go:build review

// Command stage plays one case of the review: it starts a small deployment with the project's programs and stand-ins, and
// checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(r *record, trouble bool) ([]string, error){
	"wide-job":      wideJob,
	"repetitions":   repetitions,
	"foreign-ping":  foreignPing,
	"clock-step":    clockStep,
	"executor-gone": executorGone,
	"guarantee":     guarantee,
	"waiting-gang":  waitingGang,
	"pending":       pendingCount,
	"many-due":      manyDue,
	"long-task":     longTask,
	"lasting-task":  lastingTask,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		return 2
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case", "%s, trouble: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.add("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case len(broken) > 0:
		for _, b := range broken {
			r.add("broken", "%s", b)
		}
		r.add("case", "RULE BROKEN: %d breaks", len(broken))
		fmt.Printf("rule broken, %d breaks; the first: %s\n", len(broken), broken[0])
		return 1
	default:
		r.add("case", "the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
