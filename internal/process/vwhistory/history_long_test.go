//go:build long

package vwhistory_test

import "testing"

// Ten thousand generated histories, other ones than CI runs, must break no promise.
func TestManyHistories(t *testing.T) {
	runSeeds(t, 100_000, 10_000)
}

// TestManyEffortHistories runs more seeds of best-effort jobs than CI does.
func TestManyEffortHistories(t *testing.T) {
	runSeedsOn(t, effortHistoryCount+1, 3000, runEffortHistory)
}
