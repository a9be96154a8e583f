//go:build review2

// Command stand-2 plays the cases of the second review that are scripts. It starts the project's own programs as
// separate processes on loopback addresses, and stands in for the platform, the operator, the clients and the workers.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios maps the name of a case to the function that plays it. It reports whether the rule held.
var scenarios = map[string]func(*stage) (bool, error){
	"replace": playReplace,
	"cancel":  playCancel,
	"crash":   playCrash,
	"late":    playLateStart,
	"kind":    playKind,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 SCENARIO FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a scenario, writes the record to folder, and returns the exit code.
func play(name, folder string) int {
	scenario, known := scenarios[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no scenario is named %q\n", name)
		return exitNotRun
	}
	s, err := openStage(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	held, err := scenario(s)
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		return exitNotRun
	case !held:
		s.note("result: the rule was broken")
		return exitBroken
	}
	s.note("result: the rule held")
	return exitHeld
}
