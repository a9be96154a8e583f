// Package vwsignal handles the signals of a process from its start to its end.
package vwsignal

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// bufferedSignals is the number of signals that may wait for their handling. A signal that finds no room is lost, as the
// system itself merges pending signals of a kind.
const bufferedSignals = 16

// Signals handles SIGINT, SIGTERM and SIGHUP. The first SIGINT or SIGTERM ends the context of the command, which then
// shuts down gracefully. Further SIGTERMs do not shorten the shutdown, which is bounded already. A SIGINT after that
// has its default effect and ends the process at once. SIGHUP ends the context as well, unless a command handles it.
type Signals struct {
	stop context.CancelFunc

	mu      sync.Mutex
	handler func(os.Signal)
}

// Make returns Signals that call stop when the command has to stop. They handle only what Deliver passes them.
func Make(stop context.CancelFunc) *Signals {
	return &Signals{stop: stop}
}

// Receive handles the signals of this process until it ends. The returned context is the command's, and holds the Signals
// for FromContext.
func Receive(ctx context.Context) context.Context {
	ctx, stop := context.WithCancel(ctx)
	signals := Make(stop)
	received := make(chan os.Signal, bufferedSignals)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	vwgroup.Make(context.WithoutCancel(ctx)).Run(func(context.Context) {
		for s := range received {
			signals.Deliver(s)
			if ctx.Err() != nil {
				signal.Reset(os.Interrupt)
			}
		}
	})
	return context.WithValue(ctx, contextKey{}, signals)
}

// Handle calls handler for each signal from now on, also while the process shuts down. SIGHUP then no longer ends the
// context of the command. The handler must not block. A nil receiver does nothing.
func (s *Signals) Handle(handler func(os.Signal)) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
}

// Deliver handles one signal.
func (s *Signals) Deliver(received os.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handler != nil {
		s.handler(received)
	}
	if received != syscall.SIGHUP || s.handler == nil {
		s.stop()
	}
}

type contextKey struct{}

// FromContext returns the Signals of the context of a command, or nil if it has none.
func FromContext(ctx context.Context) *Signals {
	signals, _ := ctx.Value(contextKey{}).(*Signals)
	return signals
}
