// Package vwdispatch decides which task starts on which worker. Queue is the side of an entry: it
// orders the waiting tasks and holds the credits of the workers. Granter is the side of an agent:
// it divides the slots of one worker as credits among the entries. Both are plain state without
// goroutines, locks or a clock; their owner calls them from one goroutine and passes the time in.
//
// After each event an entry calls Queue.Next until it reports false and sends the tasks, then
// Queue.NextDemand until it reports false and sends the reports, then Queue.TakeExpired. While
// tasks wait it repeats this every 10 ms, so that NextDemand can ask more agents.
//
// After each event an agent calls Granter.Decide and sends the credits and recalls, and again at the
// time that Granter.Retry tells. An entry answers each recall with a return, of zero credits when it
// has none left.
//
// Queue.TakeExpired also drops the state of teams and services that were idle for a minute.
//
// A new connection between the two starts without credits: the entry drops those that it holds with
// Recall and calls AddWorker again, which keeps what it knows of the worker's failures; the agent
// calls RemoveEntry and AddEntry.
package vwdispatch
