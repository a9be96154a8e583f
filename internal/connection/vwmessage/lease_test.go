package vwmessage_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwlease"
)

// A message must not lengthen a lease, and an empty text of a new version must arrive as one.
func TestLeaseReplyCarriesGrant(t *testing.T) {
	cases := map[string]struct{ sent, want vwlease.Grant }{
		"rounds down": {vwlease.Grant{Version: 3, Remaining: 1999999 * time.Microsecond}, vwlease.Grant{Version: 3, Remaining: 1999 * time.Millisecond}},
		"with text":   {vwlease.Grant{Version: 4, Remaining: time.Second, Text: []byte("# x\n")}, vwlease.Grant{Version: 4, Remaining: time.Second, Text: []byte("# x\n")}},
		"empty text":  {vwlease.Grant{Version: 5, Remaining: time.Second, Text: []byte{}}, vwlease.Grant{Version: 5, Remaining: time.Second}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var reply, received vwmessage.LeaseReply
			reply.SetGrant(c.sent)
			data, err := reply.MarshalMsg(nil)
			require.NoError(t, err)
			_, err = received.UnmarshalMsg(data)
			require.NoError(t, err)
			got := received.Grant()
			require.Equal(t, string(c.want.Text), string(got.Text))
			got.Text, c.want.Text = nil, nil
			require.Equal(t, c.want, got)
		})
	}
}

// A duration that overflows must not become a lease that never ends.
func TestLeaseReplyOverflow(t *testing.T) {
	now := time.Now()
	holder := vwlease.Make(2*time.Second, time.Second)
	reply := vwmessage.LeaseReply{RemainingMilliseconds: math.MaxInt64}
	_, err := holder.Renew(holder.Request(now), reply.Grant())
	require.NoError(t, err)
	require.False(t, holder.IsFresh(now.Add(2*time.Second)))
}
