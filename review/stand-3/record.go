//go:build review3

// Command stand runs the cases of the review of issue 51: it starts the roles as processes, plays workers, clients and the
// operator, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func openRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, begun: time.Now()}, err
}

// add writes a line with the seconds since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.begun).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}
