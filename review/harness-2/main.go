//go:build review

// Command harness-2 plays the scripted cases of the second review: it starts the
// project's programs as processes on loopback, with the project's stand-in for the
// store and executors of its own, and judges what these and the clients see.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is the result of a case: a broken rule, or none.
type verdict struct {
	broken []string
}

func (v *verdict) breaks(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

var errNotRun = errors.New("the case could not run")

var cases = map[string]func(s *site, trouble bool, v *verdict) error{
	"twice":   playTwice,
	"yield":   playYield,
	"urgent":  playUrgent,
	"spread":  playSpread,
	"serving": playServing,
	"cancel":  playCancel,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "executor" {
		fmt.Fprintln(os.Stderr, runExecutor(os.Args[2]))
		os.Exit(2)
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// limit is the longest time of a script, of 120 s that are allowed.
const limit = 115 * time.Second

func play(name, root, record string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		return 2
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &recorder{file: file, began: time.Now()}
	rec.say("case %s, disruption %v", name, trouble)
	s, err := newSite(root, rec)
	if err != nil {
		rec.say("not run: %v", err)
		return 2
	}
	defer s.close()
	v := &verdict{}
	done := make(chan error, 1)
	go func() { done <- cases[name](s, trouble, v) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-done:
	case <-signals:
		err = errors.New("interrupted")
	case <-time.After(limit):
		err = errors.New("too long")
	}
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		fmt.Println("not run:", err)
		return 2
	case len(v.broken) > 0:
		for _, b := range v.broken {
			rec.say("BROKEN %s", b)
			fmt.Println("BROKEN", b)
		}
		return 1
	}
	rec.say("held")
	fmt.Println("held")
	return 0
}

// settle waits until the deployment accepts and completes a job, so that the case
// begins in steady state.
func (s *site) settle(queue, key string, accelerators int) error {
	id, _, err := s.submit(queue, key, "work 100ms", 20*time.Second, step{"count": len(s.executors), "cpu": 1000, "memory_request_mb": 256, "gpu": accelerators, "estimate_ms": 100, "max_per_server": 1})
	if err != nil {
		return err
	}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if s.state(queue, key, id) == "completed" {
			time.Sleep(3 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the first job did not complete: %w", errNotRun)
}
