//go:build !long

package vwrun

// historySeeds is how many histories are played.
const historySeeds = 40
