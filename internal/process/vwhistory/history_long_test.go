//go:build long

package vwhistory_test

import "testing"

// Ten thousand generated histories, other ones than CI runs, must break no promise.
func TestManyHistories(t *testing.T) {
	runSeeds(t, 100_000, 10_000)
}
