// Package vwhistory holds the tests that run the real entry and agent code together under faults, on an
// in-memory network and a fake clock, and check the promises from the outside.
package vwhistory
