// Package vwdispatch decides which task starts on which worker. Queue is the side of an entry: it
// orders the waiting tasks and holds the credits of the workers. Granter is the side of an agent:
// it divides the slots of one worker as credits among the entries. Both are plain state without
// goroutines, locks or a clock; their owner calls them from one goroutine and passes the time in.
package vwdispatch
