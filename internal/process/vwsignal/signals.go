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

// Signals handles the signals of a process. The first SIGINT or SIGTERM ends the context of the command. What further
// signals do depends on whether the command handles signals.
type Signals struct {
	received chan os.Signal
	stop     context.CancelFunc

	mu       sync.Mutex
	stopping bool
	handler  func(os.Signal)
}

// Make returns Signals that call stop when the command has to stop. They handle only what Deliver passes them.
func Make(stop context.CancelFunc) *Signals {
	return &Signals{received: make(chan os.Signal, bufferedSignals), stop: stop}
}

// Receive handles the signals of this process until it ends. The returned context is the command's, and holds the Signals
// for FromContext.
func Receive(ctx context.Context) context.Context {
	ctx, stop := context.WithCancel(ctx)
	signals := Make(stop)
	signal.Notify(signals.received, os.Interrupt, syscall.SIGTERM)
	vwgroup.Make(context.WithoutCancel(ctx)).Run(func(context.Context) {
		for received := range signals.received {
			if !signals.Deliver(received) {
				raise(received)
			}
		}
	})
	return context.WithValue(ctx, contextKey{}, signals)
}

// Handle calls handler for each signal from now on, also while the process shuts down, and for SIGHUP, which then does not
// end the process any more. Further SIGTERMs no longer end it either: the shutdown of a command that handles signals is
// bounded. The handler must not block. A nil receiver does nothing.
func (s *Signals) Handle(handler func(os.Signal)) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
	signal.Notify(s.received, syscall.SIGHUP)
}

// Deliver handles one signal. It returns false if the signal has to have its default effect, which ends the process: any
// after the first, unless the command handles signals, and then only an interrupt, by which a person at a terminal ends a
// shutdown that takes too long.
func (s *Signals) Deliver(received os.Signal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping && (s.handler == nil || received == os.Interrupt) {
		return false
	}
	if s.handler != nil {
		s.handler(received)
	}
	if received != syscall.SIGHUP {
		s.stopping = true
		s.stop()
	}
	return true
}

// raise sends a signal to this process again, with its default effect.
func raise(received os.Signal) {
	signal.Reset(received)
	if number, is := received.(syscall.Signal); is {
		_ = syscall.Kill(os.Getpid(), number)
	}
}

type contextKey struct{}

// FromContext returns the Signals of the context of a command, or nil if it has none.
func FromContext(ctx context.Context) *Signals {
	signals, _ := ctx.Value(contextKey{}).(*Signals)
	return signals
}
