package vwstart

import "vanillawind.example/vanillawind/internal/connection/vwmessage"

const (
	// compactSlack is how many entries without a result the queue may hold before it is compacted.
	compactSlack = 1024
	// resultOverhead approximates the memory of a kept result beside its payload and message.
	resultOverhead = 200
)

// keptResults are the finished tasks whose results are kept, oldest first.
type keptResults struct {
	limit int
	bytes int
	count int
	// queue also holds tasks whose result was dropped; they are skipped.
	queue []*started
}

// add keeps the result of a task and drops the oldest results that exceed the bound.
func (k *keptResults) add(task *started, result *vwmessage.Result) {
	task.result = result
	k.queue = append(k.queue, task)
	k.count++
	k.bytes += size(result)
	for k.bytes > k.limit && len(k.queue) > 0 {
		k.drop(k.queue[0])
		k.queue[0] = nil
		k.queue = k.queue[1:]
	}
}

// drop forgets the result of a task, if it is kept.
func (k *keptResults) drop(task *started) {
	if task.result == nil {
		return
	}
	k.bytes -= size(task.result)
	k.count--
	task.result = nil
}

// compact removes tasks without a result, so that acknowledged ones do not pile up in the queue.
func (k *keptResults) compact() {
	if len(k.queue) <= 2*k.count+compactSlack {
		return
	}
	live := make([]*started, 0, k.count)
	for _, task := range k.queue {
		if task.result != nil {
			live = append(live, task)
		}
	}
	k.queue = live
}

func size(result *vwmessage.Result) int {
	return resultOverhead + len(result.Payload) + len(result.Message)
}
