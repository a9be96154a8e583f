//go:build !long

package vwrun

// historySeeds is the number of histories for each lease.
const historySeeds = 40
