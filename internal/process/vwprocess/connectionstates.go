package vwprocess

import (
	"net"
	"net/http"
	"sync"
)

// connectionStates holds which connections of a server carry a request, or have not carried one yet.
type connectionStates struct {
	mu sync.Mutex
	// active holds the connections that are not idle: true for one with a request, false for a new one.
	active map[net.Conn]bool
}

// set records the state of a connection. It is the ConnState of a server.
func (c *connectionStates) set(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		if c.active == nil {
			c.active = map[net.Conn]bool{}
		}
		c.active[conn] = state == http.StateActive
	default:
		delete(c.active, conn)
	}
}

// areInUse reports whether a connection carries a request. With orNew set, a connection that has carried none yet counts
// as well.
func (c *connectionStates) areInUse(orNew bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hasRequest := range c.active {
		if hasRequest || orNew {
			return true
		}
	}
	return false
}
