package vwentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/version/vwrule"
)

// Guards against unbounded retries, which multiply the load while workers are being lost.
func TestRetryBudget(t *testing.T) {
	cases := map[string]struct {
		policy   vwrule.RetryBudget
		requests int
		wait     time.Duration
		want     int
	}{
		"none":         {vwrule.RetryBudget{}, 1000, time.Hour, 0},
		"ratio":        {vwrule.RetryBudget{Ratio: 0.1}, 255, 0, 25},
		"rate":         {vwrule.RetryBudget{PerSecond: 10}, 5, 1500 * time.Millisecond, 15},
		"both":         {vwrule.RetryBudget{Ratio: 0.5, PerSecond: 10}, 10, time.Second, 15},
		"a quiet hour": {vwrule.RetryBudget{Ratio: 1, PerSecond: 10}, 1000, time.Hour, maxRetryTokens},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			b := retryBudget{policy: c.policy, refilledAt: now}
			for range c.requests {
				b.deposit()
			}
			permitted := 0
			for b.withdraw(now.Add(c.wait)) {
				permitted++
			}
			require.Equal(t, c.want, permitted)
		})
	}
}
