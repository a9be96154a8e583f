//go:build !long

package vwcontrol

// seedCount is how many seeds each fault is run with.
const seedCount = 2
