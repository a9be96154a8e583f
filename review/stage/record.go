//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	begun time.Time
	file  *os.File
	out   *bufio.Writer
}

func makeRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// seconds returns the time of the record at a moment.
func (r *record) seconds(at time.Time) float64 {
	return at.Sub(r.begun).Seconds()
}

// write adds a line about one of the parties.
func (r *record) write(party, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %-14s %s\n", time.Since(r.begun).Seconds(), party, fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
