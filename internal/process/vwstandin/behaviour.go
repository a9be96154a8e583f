package vwstandin

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Mode is how a stand-in treats all tasks.
type Mode string

// The modes of a stand-in.
const (
	// ModeNormal does what each payload asks for.
	ModeNormal Mode = "Normal"
	// ModeFail fails every task at once.
	ModeFail Mode = "Fail"
	// ModeSlow adds ExtraMillis to each run time.
	ModeSlow Mode = "Slow"
	// ModeHang ends no task until its caller gives up or the mode changes.
	ModeHang Mode = "Hang"
)

// Behaviour tells a stand-in how to treat tasks from now on.
type Behaviour struct {
	Mode        Mode
	ExtraMillis int64 `json:",omitzero"`
}

func (b Behaviour) check() error {
	switch b.Mode {
	case ModeNormal, ModeFail, ModeSlow, ModeHang:
	default:
		return trace.BadParameter("unknown mode %q", b.Mode)
	}
	if b.ExtraMillis < 0 {
		return trace.BadParameter("ExtraMillis is %d; want 0 or more", b.ExtraMillis)
	}
	return nil
}

// Payload is what a task asks of the stand-in.
type Payload struct {
	RunMillis float64         `json:",omitempty"`
	Fail      bool            `json:",omitempty"`
	Echo      json.RawMessage `json:",omitempty"`
	Tag       string          `json:",omitempty"`
}

func parsePayload(body []byte) (Payload, error) {
	var payload Payload
	if len(body) == 0 {
		return payload, nil
	}
	if err := json.Unmarshal(body, &payload); err != nil {
		return Payload{}, trace.BadParameter("payload: %v", err)
	}
	if payload.RunMillis < 0 {
		return Payload{}, trace.BadParameter("RunMillis is %v; want 0 or more", payload.RunMillis)
	}
	return payload, nil
}

// result returns the body of a successful answer.
func (p Payload) result() []byte {
	if len(p.Echo) == 0 {
		return []byte("null")
	}
	return p.Echo
}

func (p Payload) runTime(b Behaviour) time.Duration {
	run := time.Duration(p.RunMillis * float64(time.Millisecond))
	if b.Mode == ModeSlow {
		run += time.Duration(b.ExtraMillis) * time.Millisecond
	}
	return run
}
