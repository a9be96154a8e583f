package vwsuggest

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A wrong proposal sends an operator to the wrong name.
func TestName(t *testing.T) {
	known := []string{"Share", "Quota", "Limit"}
	cases := map[string]struct{ mistyped, want string }{
		"letter swapped": {"Shrae", `write "Share"`},
		"letter missing": {"Quot", `write "Quota"`},
		"other case":     {"limit", `write "Limit"`},
		"nothing near":   {"Zebra_x", "write one of Share, Quota, Limit"},
		"empty":          {"", "write one of Share, Quota, Limit"},
		"too long":       {strings.Repeat("Share", 20), "write one of Share, Quota, Limit"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, Name(c.mistyped, known))
		})
	}
}
