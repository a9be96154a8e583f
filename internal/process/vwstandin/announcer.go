package vwstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// announceInterval is the interval of section 7.6 of the design page.
	announceInterval = time.Second
	// announceTimeout ends an announcement before the next one is due.
	announceTimeout = announceInterval
	// leaveAttempts bounds how often a stop tries to tell an agent that may be dead.
	leaveAttempts = 3
)

// Announcement is the body of POST /Announce at the agent.
type Announcement struct {
	Service vwid.Service
	Address string
	Slots   int
}

// Departure is the body of POST /Leave at the agent.
type Departure struct {
	Service vwid.Service
	Address string
}

// announcer tells the agent about the backend server.
type announcer struct {
	client  *http.Client
	agent   string
	message Announcement
}

// run announces every second until ctx ends, while active reports true.
func (a *announcer) run(ctx context.Context, active func() bool, failed func(error)) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if active() {
			if err := a.announce(ctx); err != nil && ctx.Err() == nil {
				failed(err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *announcer) announce(ctx context.Context) error {
	return trace.Wrap(a.post(ctx, "/Announce", a.message))
}

func (a *announcer) leave(ctx context.Context) error {
	var err error
	for range leaveAttempts {
		err = a.post(ctx, "/Leave", Departure{Service: a.message.Service, Address: a.message.Address})
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return trace.Wrap(err)
}

func (a *announcer) post(ctx context.Context, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.agent+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return trace.Errorf("the agent answered %s to POST %s", response.Status, path)
	}
	return nil
}
