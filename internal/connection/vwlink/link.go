// Package vwlink holds the links between the processes of vanillawind. A link carries messages in
// order or not at all. Session adds requests with replies and the detection of silent links.
package vwlink

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Peer describes the other end of a link, as its Hello told.
type Peer struct {
	Process     vwid.Process
	Incarnation vwid.Incarnation
	Role        string
	DataCentre  vwid.DataCentre
	Rack        vwid.Rack
	// Revision is the newest revision of the messages that the peer understands.
	Revision int
}

// Conn is one link. Send and Receive may be called by different goroutines; each by one at a time
// or more. A closed link returns errors for which IsClosed holds.
type Conn interface {
	Peer() Peer
	// Send queues a message. An error means that the message was not and will not be sent.
	Send(ctx context.Context, envelope vwmessage.Envelope) error
	Receive(ctx context.Context) (vwmessage.Envelope, error)
	Close() error
}

// Dialer opens links.
type Dialer interface {
	Dial(ctx context.Context, address string) (Conn, error)
}

// Listener accepts links.
type Listener interface {
	Accept(ctx context.Context) (Conn, error)
	Address() string
	Close() error
}

// Endpoint is a process's end of all its links.
type Endpoint interface {
	Dialer
	Listener
}

// ErrClosed is returned on a link that has ended.
var ErrClosed = errors.New("link is closed")

// IsClosed reports whether err tells that a link has ended.
func IsClosed(err error) bool {
	return errors.Is(err, ErrClosed)
}

// ErrSilent ends a session whose peer has sent nothing for longer than the silence timeout.
var ErrSilent = errors.New("link is silent")

// IsSilent reports whether err tells that the peer fell silent.
func IsSilent(err error) bool {
	return errors.Is(err, ErrSilent)
}

// CheckHello returns the peer that hello describes, or an error when it belongs to another cluster.
func CheckHello(own, hello vwmessage.Hello) (Peer, error) {
	if hello.Cluster != own.Cluster {
		return Peer{}, trace.AccessDenied("peer %q belongs to cluster %q, not to %q", hello.Process, hello.Cluster, own.Cluster)
	}
	if hello.Process == "" || hello.Incarnation == "" {
		return Peer{}, trace.BadParameter("hello names no process or no incarnation")
	}
	return Peer{
		Process:     hello.Process,
		Incarnation: hello.Incarnation,
		Role:        hello.Role,
		DataCentre:  hello.DataCentre,
		Rack:        hello.Rack,
		Revision:    hello.Revision,
	}, nil
}
