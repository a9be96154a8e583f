package vwintake

import (
	"errors"
	"io"
	"net/http"
	"os"

	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Stream is the body of a request that is decoded as it arrives. What has been read counts as held until the stream is closed.
type Stream struct {
	arrival
	w     http.ResponseWriter
	r     *http.Request
	limit vwunit.Bytes
	// taken is what the stream has taken from the budget, and read what has been read.
	taken, read vwunit.Bytes
	progress    vwunit.Bytes
	err         error
}

// OpenBody returns the body of a request, which may have limit bytes. The bytes are taken from the budget as they come. Reads return
// ErrRefused if there is no room, or if the body made no progress in time. The stream has to be closed before the response is written.
func (b *Budget) OpenBody(w http.ResponseWriter, r *http.Request, limit vwunit.Bytes) *Stream {
	return &Stream{
		arrival: arrival{budget: b, controller: http.NewResponseController(w), body: http.MaxBytesReader(w, r.Body, int64(limit)), declared: vwunit.Bytes(r.ContentLength)},
		w:       w, r: r, limit: limit,
	}
}

// Read implements io.Reader.
func (s *Stream) Read(text []byte) (int, error) {
	if s.err == nil {
		s.err = s.makeRoom()
	}
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.body.Read(text[:min(len(text), int(s.taken-s.read))])
	s.read += vwunit.Bytes(n)
	if s.progress += vwunit.Bytes(n); s.progress >= s.budget.ledger.settings.ProgressBytes && err == nil {
		s.budget.advance(s.holding, s.progress)
		s.extend()
		s.progress = 0
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = s.budget.refuse(Stalled)
	}
	s.err = err
	return n, err
}

// makeRoom takes as much as has been read already, so that a step is not needed for each read. A body of no more than its limit needs
// room for one byte more, whose read tells that it has ended.
func (s *Stream) makeRoom() error {
	if s.read < s.taken {
		return nil
	}
	step := min(max(2*s.taken, s.budget.ledger.settings.Small), s.limit+1)
	if s.declared >= 0 {
		step = min(step, max(s.declared, s.taken)+1)
	}
	if s.holding != nil {
		if err := s.budget.grow(s.holding, step); err != nil {
			return err
		}
		s.taken = step
		return nil
	}
	var err error
	if s.holding, err = s.budget.open(s.r, s.stop, step); err != nil {
		return err
	}
	s.taken = step
	s.extend()
	return nil
}

// Close gives back what the stream holds. If the body was not read to its end, the connection closes with the response.
func (s *Stream) Close() {
	if s.holding != nil {
		s.finish()
		s.budget.Release(s.holding)
	}
	if !errors.Is(s.err, io.EOF) && s.r.ContentLength != 0 && s.read != s.declared {
		s.w.Header().Set("Connection", "close")
		s.setDeadline(drainTime)
	}
}
