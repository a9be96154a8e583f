package vwentry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlinktest"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwpart"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// partsControl grants leases on one configuration whose text it serves in parts.
type partsControl struct {
	mu      sync.Mutex
	config  vwstate.Config
	library vwpart.Library
	// answer replaces the answer to the call with the given number, from 1; it may be nil.
	answer func(call int, parts []vwstate.RulesPart) ([]vwstate.RulesPart, error)
	// asked has the sizes that were asked for.
	asked []int
}

func (c *partsControl) Propose(context.Context, vwstate.Command) (vwstate.Outcome, error) {
	return vwstate.Outcome{}, nil
}

func (c *partsControl) Renew(_ context.Context, request *vwmessage.LeaseRequest) (*vwmessage.LeaseReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &vwmessage.LeaseReply{Version: c.config.Version, RemainingMilliseconds: leaseDuration.Milliseconds()}
	if request.Held < c.config.Version {
		reply.RulesParts = c.library.Update(c.config)
	}
	return reply, nil
}

func (c *partsControl) Read(_ context.Context, query vwstate.Query) (vwstate.View, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, query.PartBytes)
	parts := c.library.Read(query.Parts, query.PartBytes)
	if c.answer == nil {
		return vwstate.View{Parts: parts}, nil
	}
	parts, err := c.answer(len(c.asked), parts)
	return vwstate.View{Parts: parts}, err
}

// calls returns the sizes that were asked for so far.
func (c *partsControl) calls() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]int(nil), c.asked...)
}

func textOfRoutes(count int) []byte {
	var text bytes.Buffer
	text.WriteString("Service.s = {} # test\n")
	for route := range count {
		spread := uint32(route+1) * 2654435761
		fmt.Fprintf(&text, "Route.r%d = { Host = \"host%d.example\", Prefix = \"/p%d/\", Service = \"s\", Timeout = \"1.5s\" } # test\n", route, spread%9000, spread)
	}
	return text.Bytes()
}

// runWithParts runs an entry against control for some seconds and returns its counters and the version in force.
func runWithParts(t *testing.T, control *partsControl) (*Counters, vwid.ConfigVersion) {
	network := vwlinktest.MakeNetwork(time.Millisecond)
	end := network.MakeEndpoint("e", vwmessage.Hello{Cluster: "c", Process: "e", Incarnation: "e"})
	settings := DefaultSettings()
	settings.Process = "e"
	entry := Make(settings, "e", control, end, slog.New(slog.DiscardHandler))
	entry.Start()
	time.Sleep(5 * time.Second)
	version := entry.Version(t.Context())
	entry.Kill()
	require.NoError(t, network.Close())
	return entry.Counters(), version
}

// Guards against a fetch that begins anew after a call that failed, or that asks a slow link for as much again.
func TestFetchGoesOnAfterAFailedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		received := map[vwid.RulesPart]int{}
		control := &partsControl{config: vwstate.Config{Version: 7, Text: textOfRoutes(4000)}}
		control.answer = func(call int, parts []vwstate.RulesPart) ([]vwstate.RulesPart, error) {
			if call == 2 || call == 3 {
				return nil, errors.New("planted: no answer")
			}
			for _, part := range parts {
				received[part.ID]++
			}
			return parts, nil
		}
		counters, version := runWithParts(t, control)
		require.EqualValues(t, 7, version)
		require.EqualValues(t, 2, counters.RulesFetchesFailed.Load())
		require.Equal(t, []int{maxFetchBytes, maxFetchBytes, maxFetchBytes / 2, maxFetchBytes / 4, maxFetchBytes / 2}, control.calls()[:5])
		for id, times := range received {
			require.Equal(t, 1, times, "part %x", string(id))
		}
	})
}

// Guards against a damaged or malformed part that ends the process, comes into force, or keeps later parts out.
func TestMalformedPartIsAskedForAgain(t *testing.T) {
	damages := map[string]func(part vwstate.RulesPart) vwstate.RulesPart{
		"not compressed":  func(part vwstate.RulesPart) vwstate.RulesPart { part.Packed = []byte("text"); return part },
		"without content": func(part vwstate.RulesPart) vwstate.RulesPart { part.Packed = nil; return part },
		"of another id":   func(part vwstate.RulesPart) vwstate.RulesPart { part.ID = "another"; return part },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				control := &partsControl{config: vwstate.Config{Version: 7, Text: textOfRoutes(100)}}
				control.answer = func(call int, parts []vwstate.RulesPart) ([]vwstate.RulesPart, error) {
					if call <= 3 {
						return []vwstate.RulesPart{damage(parts[0])}, nil
					}
					return parts, nil
				}
				_, version := runWithParts(t, control)
				require.EqualValues(t, 7, version)
			})
		})
	}
}

// Guards against an entry that waits for parts of a version that newer rules have replaced.
func TestReplacedVersionIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := &partsControl{config: vwstate.Config{Version: 7, Text: textOfRoutes(100)}}
		control.answer = func(call int, parts []vwstate.RulesPart) ([]vwstate.RulesPart, error) {
			if call == 1 {
				control.config = vwstate.Config{Version: 8, Text: textOfRoutes(200)}
				control.library.Update(control.config)
				return nil, nil
			}
			return parts, nil
		}
		_, version := runWithParts(t, control)
		require.EqualValues(t, 8, version)
	})
}

// Guards against rules that cannot be read and are fetched or parsed again and again, and against older rules that stay in
// force under a lease.
func TestUnreadableRulesAreFetchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := &partsControl{config: vwstate.Config{Version: 7, Text: []byte("Future.x = {} # test\n")}}
		_, version := runWithParts(t, control)
		require.Zero(t, version)
		require.Len(t, control.calls(), 1)
	})
}
