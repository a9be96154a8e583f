//go:build !long

package vwcontrol

// seedCount is the number of seeds per scenario and cluster size.
const seedCount = 2
