//go:build review3

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

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule is broken")

// cases are the cases by name. Trouble is false for a run without the disruption.
var cases = map[string]func(root string, log *record, trouble bool) error{
	"thawed-entry":  thawedEntry,
	"first-ack":     firstAck,
	"first-start":   firstStart,
	"encoded-route": encodedRoute,
}

func main() {
	os.Exit(run())
}

// giveUp ends all processes and the program.
func giveUp(reason string) {
	fmt.Fprintln(os.Stderr, "the case could not run:", reason)
	started.killAll()
	os.Exit(2)
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	if _, err := os.Stat(filepath.Join(root, "target", "vanillawind")); err != nil {
		fmt.Fprintln(os.Stderr, "run the build of the deploy file first:", err)
		return 2
	}
	log, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	time.AfterFunc(118*time.Second, func() { giveUp("the time is over") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	background.Go(func() { giveUp((<-signals).String()) })
	err = cases[os.Args[1]](root, log, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		log.add("verdict: broken: %v", err)
		fmt.Println("broken:", err)
		return 1
	case err != nil:
		log.add("verdict: the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	log.add("verdict: held")
	fmt.Println("held")
	return 0
}
