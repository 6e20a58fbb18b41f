//go:build review

// Command harness-3 plays the scripts of the third review. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// play plays a case. It returns what broke the rule, or "".
type play func(r *record, trouble bool) (broken string, err error)

var plays = map[string]play{"quarantined": playQuarantined, "starved": playStarved, "silent": playSilent, "left": playLeft}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE FOLDER")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := plays[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		os.Exit(2)
	case broken != "":
		r.say("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	r.say("the rule held")
	fmt.Println("the rule held")
}
