package vwrule

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkTakeOutOfManyRoutes measures an evacuation, which an operator waits for, beside thousands of routes.
func BenchmarkTakeOutOfManyRoutes(b *testing.B) {
	var text bytes.Buffer
	text.WriteString("Service.s = {} # test\nDataCentre.a = {} # test\n")
	for route := range 4245 {
		fmt.Fprintf(&text, "Route.r%d = { Host = \"host%d.example\", Prefix = \"/p/\", Service = \"s\", Timeout = \"1.5s\" } # test\n", route, route)
	}
	for b.Loop() {
		_, err := TakeOut(text.Bytes(), "a", "test")
		require.NoError(b, err)
	}
}
