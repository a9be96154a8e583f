package vwclient

import "sync"

const (
	// maxRetries is how many retries a quiet client may send at once.
	maxRetries = 10
	// retryRatio is how much of a retry each request adds, so that retries stay under a tenth of the load.
	retryRatio = 0.1
)

// budget bounds the retries of idempotent requests that may have run. It is safe for concurrent use.
type budget struct {
	mu    sync.Mutex
	spent float64
}

func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryRatio)
}

func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > maxRetries {
		return false
	}
	b.spent++
	return true
}
