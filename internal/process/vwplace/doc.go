// Package vwplace decides where the tasks of best-effort jobs run. Queue is the side of an entry: it orders the
// waiting jobs, chooses workers by the room that their agents have told of, and says when a job is of no more
// use. Share is the side of an agent: it keeps freed room for the entry whose task is most urgent.
//
// An entry sends a task to a worker that it believes to have room, and the agent refuses what does not fit. So
// a task that finds room needs no message before it starts. Only while tasks wait does the entry tell agents
// that it wants room, and they keep what becomes free for it.
//
// Both are plain state without goroutines, locks or a clock; their owner calls them from one goroutine and
// passes the time in.
package vwplace
