package vweditor

import (
	"bytes"
	"context"
	"reflect"
	"sync"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// SharedReads is a Control that reads the rules once for all callers who ask for them while an earlier read is under way. Large rules
// would otherwise be held once for each caller. A caller gets rules that were read after it asked, and must not change their bytes.
type SharedReads struct {
	Control

	group *vwgroup.Group
	// turn holds an element while a read is under way.
	turn chan struct{}

	mu sync.Mutex
	// next is the read that has not begun, or nil.
	next *sharedRead
	// last is what the last read has returned.
	last vwstate.Config
}

// sharedRead is a read for several callers. It ends when all of them have left.
type sharedRead struct {
	// callers is the number of those that wait. The mutex of SharedReads guards it.
	callers int
	cancel  context.CancelFunc
	done    chan struct{}
	config  vwstate.Config
	err     error
}

// ShareReads returns a Control that shares the reads of the rules.
func ShareReads(control Control) *SharedReads {
	return &SharedReads{Control: control, group: vwgroup.Make(context.Background()), turn: make(chan struct{}, 1)}
}

// Read implements Control.
func (s *SharedReads) Read(ctx context.Context, query vwstate.Query) (vwstate.View, error) {
	if !reflect.DeepEqual(query, vwstate.Query{Config: true}) {
		return s.Control.Read(ctx, query)
	}
	read := s.join(ctx)
	defer s.leave(read)
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

// join returns the read that has not begun, with the caller added, or a new one.
func (s *SharedReads) join(ctx context.Context) *sharedRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil || s.next.callers == 0 {
		read := &sharedRead{done: make(chan struct{})}
		ctx, read.cancel = context.WithCancel(context.WithoutCancel(ctx))
		s.next = read
		s.group.Run(func(context.Context) { s.run(ctx, read) })
	}
	s.next.callers++
	return s.next
}

// leave removes a caller, who has got its answer or does not wait for it any more.
func (s *SharedReads) leave(read *sharedRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if read.callers--; read.callers == 0 {
		read.cancel()
	}
}

// begin ends the time in which callers may join a read.
func (s *SharedReads) begin(read *sharedRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == read {
		s.next = nil
	}
}

// run carries out a read for its callers when the one before it has ended.
func (s *SharedReads) run(ctx context.Context, read *sharedRead) {
	defer close(read.done)
	select {
	case s.turn <- struct{}{}:
		defer func() { <-s.turn }()
	case <-ctx.Done():
		s.begin(read)
		read.err = trace.Wrap(ctx.Err())
		return
	}
	s.begin(read)
	if read.config, read.err = Read(ctx, s.Control); read.err != nil {
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
