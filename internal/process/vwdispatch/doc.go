// Package vwdispatch decides which task starts on which worker. An entry runs a Queue, which orders
// the waiting tasks and holds the credits granted by the workers' agents. An agent runs a Granter,
// which divides the slots of one worker as credits among the entries. Both are plain state without
// goroutines, locks or a clock: the owner calls them from one goroutine and passes in the time.
//
// After each event an entry calls Queue.Next until it reports false and sends the tasks, then
// Queue.NextDemand until it reports false and sends the reports, then Queue.TakeExpired. While
// tasks wait it repeats this every 10 ms, so that NextDemand can ask more agents.
//
// After each event an agent calls Granter.Decide and sends the credits and recalls, and again at the
// time that Granter.NextDecision returns. An entry answers each recall with a return, of zero credits when
// it has none left.
//
// Queue.TakeExpired also drops the state of teams and services that were idle for a minute.
//
// A new connection between an entry and an agent starts without credits: the entry drops those that
// it holds with ReturnCredits and calls AddWorker again, which keeps the worker's failure rate; the agent
// calls RemoveEntry and AddEntry.
package vwdispatch
