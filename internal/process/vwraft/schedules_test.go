//go:build !long

package vwraft_test

// scheduleCount is how many seeds TestSchedules runs for each size.
const scheduleCount = 20
