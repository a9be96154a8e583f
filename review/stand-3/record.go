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

// started holds all processes that were started.
var started processes

// processes is a set of processes that were started.
type processes struct {
	mu  sync.Mutex
	all []*os.Process
}

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, process)
}

// killAll ends those that have not ended. The runtime knows which of them have been waited for.
func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range p.all {
		_ = process.Kill()
	}
}

// background holds what runs beside a case until the program ends.
var background sync.WaitGroup

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
