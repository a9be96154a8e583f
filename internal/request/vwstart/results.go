package vwstart

import "vanillawind.example/vanillawind/internal/connection/vwmessage"

const (
	// compactSlack is how many start records without a result the queue may hold, beyond the number of
	// kept results, before it is compacted.
	compactSlack = 1024
	// resultOverhead approximates the memory in bytes of a kept result without its payload and message.
	resultOverhead = 200
)

// resultStore keeps the results of finished tasks up to a bound in bytes and evicts the oldest first.
type resultStore struct {
	maxBytes int
	bytes    int
	count    int
	// queue also holds start records whose result was removed; eviction skips them.
	queue []*startRecord
}

// add keeps the result of a finished task and evicts the oldest results while the bound is exceeded.
func (s *resultStore) add(record *startRecord, result *vwmessage.Result) {
	record.result = result
	s.queue = append(s.queue, record)
	s.count++
	s.bytes += resultBytes(result)
	for s.bytes > s.maxBytes && len(s.queue) > 0 {
		s.remove(s.queue[0])
		s.queue[0] = nil
		s.queue = s.queue[1:]
	}
}

// remove drops the result of a record, if it is kept.
func (s *resultStore) remove(record *startRecord) {
	if record.result == nil {
		return
	}
	s.bytes -= resultBytes(record.result)
	s.count--
	record.result = nil
}

// compact removes start records without a result from the queue, which would otherwise grow with each
// acknowledged task.
func (s *resultStore) compact() {
	if len(s.queue) <= 2*s.count+compactSlack {
		return
	}
	retained := make([]*startRecord, 0, s.count)
	for _, record := range s.queue {
		if record.result != nil {
			retained = append(retained, record)
		}
	}
	s.queue = retained
}

func resultBytes(result *vwmessage.Result) int {
	return resultOverhead + len(result.Payload) + len(result.Message)
}
