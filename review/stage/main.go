//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds a case, with the start and the end of its processes.
const maxDuration = 110 * time.Second

// cases holds the cases by their names. A case returns the number of breaks of its rule.
var cases = map[string]func(ctx context.Context, s *stage, trouble bool) (int, error){
	"late-return": playLateReturn,
	"late-start":  playLateStart,
	"other-kind":  playOtherKind,
}

// main runs the case that the first argument names. The second one is the folder of the case, where record.txt goes.
// The variable TROUBLE=0 leaves the disruption out.
func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE FOLDER, in the root of the repository")
		return exitFailed
	}
	record, err := makeRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	record.write("stage", "case %s, disruption %t", os.Args[1], trouble)
	s, err := makeStage(record)
	if err == nil {
		defer s.end()
		var broken int
		if broken, err = cases[os.Args[1]](ctx, s, trouble); err == nil {
			err = s.findEarlyExit()
		}
		if err == nil {
			record.write("verdict", "breaks of the rule: %d", broken)
			fmt.Println("breaks of the rule:", broken)
			if broken > 0 {
				return exitBroken
			}
			return exitHeld
		}
	}
	record.write("verdict", "the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return exitFailed
}
