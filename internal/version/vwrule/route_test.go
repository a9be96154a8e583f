package vwrule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwunit"
)

const routed = "Service.muotoilu = {} # x\n"

func routeLine(name, host, prefix string) string {
	return fmt.Sprintf("Route.%s = { Host = %q, Prefix = %q, Service = \"muotoilu\", Timeout = \"1500ms\", Target = \"60ms\", Slowdown = 1.6, Level = 9, Attempts = 3 } # x\n", name, host, prefix)
}

// A request that takes another route than the longest prefix would run at the wrong service.
func TestRouteIsTheLongestPrefix(t *testing.T) {
	rules, err := Parse("rules", []byte(routed+routeLine("short", "a.example", "/a/")+routeLine("long", "a.example", "/a/b/")+routeLine("other", "b.example", "/a/")))
	require.NoError(t, err)
	require.Equal(t, 3, rules.Routes())
	cases := map[string]struct{ host, path, want string }{
		"short":        {"a.example", "/a/1", "short"},
		"long":         {"a.example", "/a/b/1", "long"},
		"prefix alone": {"a.example", "/a/b/", "long"},
		"no slash":     {"a.example", "/a", ""},
		"other host":   {"b.example", "/a/b/1", "other"},
		"no host":      {"c.example", "/a/b/1", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			route, found := rules.Route(c.host, c.path)
			require.Equal(t, c.want != "", found)
			if found {
				require.Equal(t, c.want, route.Name)
			}
		})
	}
}

// RemoveRoutes must leave all other rules unchanged: agents that miss one would start tasks that it forbids.
func TestRemoveRoutes(t *testing.T) {
	others := routed + "# Route.a is a comment\n\nDataCentre.Route = {} # Route.x\nOut.Route = {} # x"
	route := routeLine("r", "a.example", "/a/")
	cases := map[string]struct{ text, want string }{
		"none":        {others, others},
		"first":       {route + others, others},
		"amid":        {routed + "  " + route + others, routed + others},
		"last":        {others + "\n" + strings.TrimSuffix(route, "\n"), others + "\n"},
		"line breaks": {"Service.a = {} # x\r\nRoute . b = {} # x\r\nService.c = {} # x\r\n", "Service.a = {} # x\r\nService.c = {} # x\r\n"},
		"only routes": {route + route, ""},
		"empty":       {"", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, string(RemoveRoutes([]byte(c.text))))
		})
	}
}

// The objective decides which jobs are refused, so its parts must not be mixed up.
func TestRouteFields(t *testing.T) {
	rules, err := Parse("rules", []byte(routed+routeLine("r", "a.example", "/a/")+
		"Backend.muotoilu = { GuardsCapacity = true, Connections = 64 } # x\n"+
		"Intake.All = { HeaderBytes = \"16KiB\", BodyBytes = \"256KiB\", HeaderTimeout = \"3s\", IdleTimeout = \"15s\" } # x\n"+
		"Edition.Laitos = { Number = 18446744073 } # x\n"))
	require.NoError(t, err)
	route, found := rules.Route("a.example", "/a/1")
	require.True(t, found)
	require.Equal(t, Route{
		Name: "r", Host: "a.example", Prefix: "/a/", Service: "muotoilu", Level: 9,
		Timeout: 1500 * time.Millisecond, Target: 60 * time.Millisecond, Slowdown: 1.6, Attempts: 3,
	}, *route)
	require.Equal(t, 156*time.Millisecond, route.Objective(60*time.Millisecond))
	require.Equal(t, Backend{GuardsCapacity: true, Connections: 64}, rules.Backend("muotoilu"))
	require.Equal(t, Intake{HeaderBytes: 16 * vwunit.KiB, BodyBytes: 256 * vwunit.KiB, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}, rules.Intake())
	require.Equal(t, uint64(18446744073), rules.Edition("Laitos"))
	require.Zero(t, rules.Edition("Other"))
}

// A route that cannot be followed must be refused as a whole text, before it is in force anywhere.
func TestRouteFaults(t *testing.T) {
	cases := map[string]string{
		"same place":      routeLine("a", "a.example", "/a/") + routeLine("b", "a.example", "/a/"),
		"unknown service": strings.ReplaceAll(routeLine("a", "a.example", "/a/"), "muotoilu", "muotoilo"),
		"no timeout":      strings.ReplaceAll(routeLine("a", "a.example", "/a/"), `Timeout = "1500ms", `, ""),
		"timeout of zero": strings.ReplaceAll(routeLine("a", "a.example", "/a/"), "1500ms", "0s"),
		"no host":         routeLine("a", "", "/a/"),
		"upper case host": routeLine("a", "A.example", "/a/"),
		"relative prefix": routeLine("a", "a.example", "a/"),
		"slowdown below":  strings.ReplaceAll(routeLine("a", "a.example", "/a/"), "1.6", "0.5"),
		"backend":         "Backend.muotoilo = { Connections = 1 } # x\n",
		"intake":          "Intake.muotoilu = { BodyBytes = \"1KiB\" } # x\n",
		"edition":         "Edition.Laitos = { Number = -1 } # x\n",
		"empty":           "Edition.Laitos = {} # x\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("rules", []byte(routed+text))
			require.True(t, IsErrRules(err))
			require.Len(t, FaultsOf(err), 1)
		})
	}
}

// BenchmarkParseRoutes reads a text of 400 routes, as operators may add in one change.
func BenchmarkParseRoutes(b *testing.B) {
	text := []byte(routed)
	for i := range 400 {
		text = append(text, routeLine(fmt.Sprintf("r-%d", i), "a.example", fmt.Sprintf("/p%d/", i))...)
	}
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		_, err := Parse("rules", text)
		require.NoError(b, err)
	}
}

func BenchmarkRoute(b *testing.B) {
	rules, err := Parse("rules", []byte(routed+routeLine("a", "a.example", "/a/")))
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		rules.Route("a.example", "/a/1")
	}
}
