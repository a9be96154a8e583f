//go:build review2

package main

import (
	"context"
	"net"
	"time"
)

// workerListener accepts the connections to a worker. Those of a boot that has lost power go silent for good, without a
// reset.
type workerListener struct {
	net.Listener
	worker *worker
}

// Accept implements net.Listener.
func (l *workerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.worker.mu.Lock()
	defer l.worker.mu.Unlock()
	boot := l.worker.boot
	if l.worker.dark {
		// Nobody answers there, now or later.
		boot = -1
	}
	return &workerConn{Conn: conn, worker: l.worker, boot: boot}, nil
}

// workerConn is a connection to one boot of a worker.
type workerConn struct {
	net.Conn
	worker *worker
	boot   int
}

// Read implements net.Conn.
func (c *workerConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.waitIfSilent()
	return count, err
}

// Write implements net.Conn.
func (c *workerConn) Write(data []byte) (int, error) {
	c.waitIfSilent()
	return c.Conn.Write(data)
}

// Close implements net.Conn. A silent connection does not tell its peer.
func (c *workerConn) Close() error {
	c.waitIfSilent()
	return c.Conn.Close()
}

// waitIfSilent blocks until the end of the case if the boot of the connection has lost power.
func (c *workerConn) waitIfSilent() {
	c.worker.mu.Lock()
	silent := c.boot != c.worker.boot || c.worker.dark
	c.worker.mu.Unlock()
	if silent {
		<-c.worker.stage.group.Context().Done()
	}
}

// losePower ends the boot of the worker: what runs there ends, and nothing answers any more. After pause it starts again under
// its id, as the given kind, and knows nothing of before; its first heartbeat comes half of heartbeat-ms after that.
func (w *worker) losePower(ctx context.Context, pause time.Duration, kind string) bool {
	w.mu.Lock()
	w.dark, w.down = true, true
	clear(w.runs)
	w.mu.Unlock()
	w.stage.note("%s: loses power; its connections go silent", w.id)
	if !sleep(ctx, pause) {
		return false
	}
	w.mu.Lock()
	w.boot++
	w.dark, w.label = false, kind
	w.born, w.token, w.deadline, w.lastEnd, w.sequence = time.Now(), 0, 0, 0, 0
	w.numbers, w.finished = map[string]int{}, nil
	w.mu.Unlock()
	w.stage.note("%s: has started again under its id, as kind %s", w.id, kind)
	w.stage.group.Run(func(ctx context.Context) {
		if !sleep(ctx, heartbeatInterval/2) {
			return
		}
		w.mu.Lock()
		w.down = false
		w.mu.Unlock()
		w.stage.note("%s: sends heartbeats again", w.id)
	})
	return true
}
