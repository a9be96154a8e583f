// Package vwplace places the tasks of best-effort jobs on workers. Queue runs in an entry: it orders the waiting
// jobs, selects workers by the free capacity that their agents report, and ends jobs that can no longer be answered
// in time. Reservations runs in an agent: it reserves freed capacity for the entry with the most urgent task.
//
// Placement is optimistic: an entry sends a task to a worker that had free capacity by its last report, and the agent
// refuses a task that does not fit. A task that fits therefore starts without a message before it. An entry sends its
// demand to the agents only while tasks wait, and they reserve freed capacity for it.
//
// A task may crash the workers that start it. The tasks that were at a worker that crashed are run again apart from each
// other, and one under which workers crash again is given up.
//
// Both types are plain state without goroutines, locks or a clock. They are not safe for concurrent use; the owner
// passes in the current time.
package vwplace
