package vwlink

import "sync/atomic"

// Numbered is a Conn that knows its place in the order in which the links of this process were opened. A link is numbered
// before its peer learns that it is open, so the links that a peer dials one after the other have rising numbers. Where the
// number is not known, a session takes the one of the moment at which it is made.
type Numbered interface {
	Number() uint64
}

// lastNumber is the number of the newest link of this process.
var lastNumber atomic.Uint64

func numberOf(conn Conn) uint64 {
	if numbered, ok := conn.(Numbered); ok {
		return numbered.Number()
	}
	return lastNumber.Add(1)
}

// Number returns the place of the link in the order in which the links of this process were opened. Messages of different links
// may arrive in another order.
func (s *Session) Number() uint64 {
	return s.number
}
