package vweditor

import (
	"bytes"
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/version/vwstate"
)

// sharedReadTimeout bounds a read for several callers, of whom the first may have left.
const sharedReadTimeout = 3 * time.Second

// SharedReads is a Control that reads the rules once for all callers who ask for them while an earlier read is under way. Large rules
// would otherwise be held once for each caller. A caller gets rules that were read after it asked, and must not change their bytes.
type SharedReads struct {
	Control

	// turn holds an element while a read is under way.
	turn chan struct{}

	mu sync.Mutex
	// next is the read that has not begun, or nil.
	next *sharedRead
	// last is what the last read has returned.
	last vwstate.Config
}

// sharedRead is a read for several callers.
type sharedRead struct {
	done   chan struct{}
	config vwstate.Config
	err    error
}

// ShareReads returns a Control that shares the reads of the rules.
func ShareReads(control Control) *SharedReads {
	return &SharedReads{Control: control, turn: make(chan struct{}, 1)}
}

// Read implements Control.
func (s *SharedReads) Read(ctx context.Context, query vwstate.Query) (vwstate.View, error) {
	if !reflect.DeepEqual(query, vwstate.Query{Config: true}) {
		return s.Control.Read(ctx, query)
	}
	s.mu.Lock()
	read, first := s.next, s.next == nil
	if first {
		read = &sharedRead{done: make(chan struct{})}
		s.next = read
	}
	s.mu.Unlock()
	if first {
		s.run(ctx, read)
	}
	select {
	case <-read.done:
	case <-ctx.Done():
		return vwstate.View{}, trace.Wrap(ctx.Err())
	}
	if read.err != nil {
		return vwstate.View{}, read.err
	}
	config := read.config
	return vwstate.View{Config: &config}, nil
}

// run carries out a read for its callers. It goes on if the first of them leaves.
func (s *SharedReads) run(ctx context.Context, read *sharedRead) {
	s.turn <- struct{}{}
	defer func() { <-s.turn }()
	defer close(read.done)
	s.mu.Lock()
	s.next = nil
	s.mu.Unlock()
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), sharedReadTimeout)
	defer cancel()
	if read.config, read.err = Read(limited, s.Control); read.err != nil {
		return
	}
	// Callers who have not taken their answers yet hold the same bytes as later ones.
	if same(&read.config, &s.last) {
		read.config = s.last
	}
	s.last = read.config
}

func same(a, b *vwstate.Config) bool {
	return a.Version == b.Version && bytes.Equal(a.Text, b.Text) && bytes.Equal(a.Source, b.Source)
}
