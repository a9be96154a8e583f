package vwintake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"vanillawind.example/vanillawind/pkg/vwunit"
)

const (
	// firstBytes is the room for a body whose length is not declared, until more has come.
	firstBytes = 2 * vwunit.KiB
	// drainTime bounds how long the rest of the body of a refused request is read, so that its client gets the response.
	drainTime = time.Second
)

// Handle returns a handler that bounds how long the server reads the rest of a body that the handler leaves, which it does before it
// writes the response. Handlers that read the body with ReadBody or OpenBody have the bounds of these.
func (b *Budget) Handle(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(b.ledger.settings.ProgressTime))
			if conn, ok := connOf(r); ok {
				body := &transferredBody{ReadCloser: r.Body, conn: conn}
				conn.beginTransfer()
				defer body.end()
				r.Body = body
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// transferredBody is a body whose connection may lose its place to another one until the body has ended.
type transferredBody struct {
	io.ReadCloser
	conn  *Conn
	ended bool
}

// Read implements io.Reader. It returns an error in place of the end of a body whose connection has lost its place before.
func (b *transferredBody) Read(text []byte) (int, error) {
	n, err := b.ReadCloser.Read(text)
	if err != nil && b.end() && errors.Is(err, io.EOF) {
		err = net.ErrClosed
	}
	return n, err
}

// end records the end of the body. It reports whether the connection has lost its place.
func (b *transferredBody) end() (ending bool) {
	if b.ended {
		return false
	}
	b.ended = true
	return b.conn.endTransfer()
}

// ReadBody reads the body of a request, which may have limit bytes. The bytes are taken from the budget as they come, and held until
// the holding is released. It returns ErrRefused if there is no room, or if the body made no progress in time.
// After an error the connection closes with the response.
func (b *Budget) ReadBody(w http.ResponseWriter, r *http.Request, limit vwunit.Bytes) ([]byte, *Holding, error) {
	return b.ReadBodyUntil(w, r, limit, time.Time{})
}

// ReadBodyUntil is ReadBody for a caller who no longer waits for its answer after a time, so a body that is not whole by then is
// refused. The zero time is never.
func (b *Budget) ReadBodyUntil(w http.ResponseWriter, r *http.Request, limit vwunit.Bytes, until time.Time) ([]byte, *Holding, error) {
	a := &arrival{
		budget: b, controller: http.NewResponseController(w), body: http.MaxBytesReader(w, r.Body, int64(limit)), declared: vwunit.Bytes(r.ContentLength),
		until: until,
	}
	if a.declared > limit {
		w.Header().Set("Connection", "close")
		a.setDeadline(drainTime)
		return nil, nil, &http.MaxBytesError{Limit: int64(limit)}
	}
	text, err := a.read(r, limit)
	if err == nil {
		return text, a.holding, nil
	}
	b.Release(a.holding)
	// Otherwise the server would wait for the rest of the body before it writes the response.
	w.Header().Set("Connection", "close")
	a.setDeadline(drainTime)
	return nil, nil, err
}

// arrival is a body that arrives.
type arrival struct {
	budget     *Budget
	controller *http.ResponseController
	body       io.Reader
	// declared is the length of the body, or negative.
	declared vwunit.Bytes
	holding  *Holding
	// until is when the caller no longer waits, or zero.
	until time.Time

	mu sync.Mutex
	// ended is set when the deadline of the connection is no longer that of the body, and stopped when the body must not arrive.
	ended, stopped bool
}

// setDeadline sets the deadline of the connection. A response writer without one has none.
func (a *arrival) setDeadline(after time.Duration) {
	_ = a.controller.SetReadDeadline(time.Now().Add(after))
}

// stop ends a read that waits for the body.
func (a *arrival) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	if !a.ended {
		_ = a.controller.SetReadDeadline(time.Unix(1, 0))
	}
}

// extend lets the body have another ProgressTime, but no more than the caller waits.
func (a *arrival) extend() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return
	}
	after := a.budget.ledger.settings.ProgressTime
	if !a.until.IsZero() {
		after = min(after, time.Until(a.until))
	}
	a.setDeadline(after)
}

// missed returns why a body that was not whole at its deadline is refused.
func (a *arrival) missed() Reason {
	if !a.until.IsZero() && time.Until(a.until) <= 0 {
		return Late
	}
	return Stalled
}

// finish clears the deadline, since later requests of the connection have deadlines of their own.
func (a *arrival) finish() (evicted bool) {
	evicted = a.holding != nil && a.budget.finish(a.holding)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	_ = a.controller.SetReadDeadline(time.Time{})
	return evicted
}

// read reads the body.
func (a *arrival) read(r *http.Request, limit vwunit.Bytes) ([]byte, error) {
	size := firstBytes
	if a.declared >= 0 {
		size = min(a.declared, a.budget.ledger.settings.Small)
	}
	var err error
	if a.holding, err = a.budget.open(r, a.stop, size); err != nil {
		return nil, err
	}
	a.extend()
	text, err := a.readAll(make([]byte, 0, size), limit)
	evicted := a.finish()
	switch {
	case err == nil && !evicted:
		return text, nil
	case evicted:
		return nil, a.budget.refuse(Stalled)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, a.budget.refuse(a.missed())
	}
	return nil, err
}

// readAll reads to the end of the body into text, which grows in steps for which there has to be room.
func (a *arrival) readAll(text []byte, limit vwunit.Bytes) ([]byte, error) {
	progress := 0
	for a.declared < 0 || len(text) < int(a.declared) {
		if len(text) == cap(text) {
			var err error
			if text, err = a.enlarge(text, limit); err != nil {
				return nil, err
			}
		}
		n, err := a.body.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if progress += n; (a.declared < 0 || len(text) < int(a.declared)) && progress >= int(a.budget.ledger.settings.ProgressBytes) {
			a.budget.advance(a.holding, vwunit.Bytes(progress))
			a.extend()
			progress = 0
		}
	}
	return text, nil
}

// enlarge returns text with twice the capacity, at most that of the whole body. Both are held while one is copied.
func (a *arrival) enlarge(text []byte, limit vwunit.Bytes) ([]byte, error) {
	size := min(2*vwunit.Bytes(cap(text)), limit+1)
	if a.declared >= 0 {
		size = min(size, a.declared)
	}
	if err := a.budget.grow(a.holding, size+vwunit.Bytes(cap(text))); err != nil {
		return nil, err
	}
	larger := append(make([]byte, 0, size), text...)
	return larger, a.budget.grow(a.holding, size)
}
