package vwdispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards the targets of section 1.2 of the design. A target that is not met is in KNOWN-RED.txt.
func TestPolicyTargets(t *testing.T) {
	targets := map[string]map[string]float64{
		"steady-80":      {"mean": 1.05, "p99": 1.15, "waste": 0.02},
		"steady-95":      {"mean": 1.10, "p99": 1.30, "waste": 0.02},
		"all-saturated":  {"unfair": 0.05, "waste": 0.02},
		"wrong-sizes":    {"unfair": 0.05},
		"failing-worker": {"failing-starts": 0.01},
		"drain":          {"lost-work": 0.02, "waste": 0.02, "late-starts": 0},
	}
	for user, d := range deployments {
		for name, bounds := range targets {
			t.Run(user+"/"+name, func(t *testing.T) {
				metrics := simulate(scenarios[name], d, simPolicies["credits"], simSeed)
				for metric, bound := range bounds {
					t.Run(metric, func(t *testing.T) {
						require.Contains(t, metrics, metric)
						require.LessOrEqual(t, metrics[metric], bound)
					})
				}
			})
		}
	}
}
