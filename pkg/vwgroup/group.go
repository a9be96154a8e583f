// Package vwgroup starts goroutines and waits for them. It is the only place that starts any, so
// that each one has an owner that waits for its end.
package vwgroup

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Group runs goroutines under one context that ends with the first error or with Stop.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  *errgroup.Group
	mu     sync.Mutex
	closed bool
}

// Make returns a group whose context derives from ctx.
func Make(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	return &Group{ctx: ctx, cancel: cancel, group: group}
}

// Context returns the context that ends when the group does.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Go runs f in a goroutine of the group. An error ends the context of the whole group.
// It reports false, and f does not run, after Stop.
func (g *Group) Go(f func(ctx context.Context) error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.group.Go(func() error { return f(g.ctx) })
	return true
}

// Run runs f, which cannot fail, in a goroutine of the group.
func (g *Group) Run(f func(ctx context.Context)) bool {
	return g.Go(func(ctx context.Context) error {
		f(ctx)
		return nil
	})
}

// Wait waits for all goroutines and returns the first error.
func (g *Group) Wait() error {
	defer g.cancel()
	return g.group.Wait()
}

// Stop ends the context, refuses further goroutines and waits for the running ones.
func (g *Group) Stop() error {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cancel()
	return g.group.Wait()
}
