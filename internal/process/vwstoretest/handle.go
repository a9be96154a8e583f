package vwstoretest

import "time"

// handle is an open file of a Disk.
type handle struct {
	disk       *Disk
	file       *content
	generation int
}

// Write implements vwstore.File. A full disk takes as many bytes as fit.
func (h *handle) Write(data []byte) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.generation != h.disk.generation {
		return 0, ErrCrashed
	}
	if err := h.disk.change(); err != nil {
		return 0, err
	}
	fits := min(len(data), h.disk.space)
	h.disk.space -= fits
	h.file.data = append(h.file.data, data[:fits]...)
	h.file.ends = append(h.file.ends, len(h.file.data))
	if fits < len(data) {
		return fits, ErrFull
	}
	return fits, nil
}

// Sync implements vwstore.File.
func (h *handle) Sync() error {
	h.disk.mu.Lock()
	delay := h.disk.delay
	h.disk.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.generation != h.disk.generation {
		return ErrCrashed
	}
	if err := h.disk.change(); err != nil {
		return err
	}
	if h.disk.failSync {
		h.file.data, h.file.ends = h.file.data[:h.file.synced], nil
		return ErrSync
	}
	h.disk.syncs++
	if h.disk.ignoreSync {
		return nil
	}
	h.file.synced, h.file.ends = len(h.file.data), nil
	return nil
}

// Close implements vwstore.File.
func (h *handle) Close() error {
	return nil
}

// lock is the held lock of a Disk.
type lock struct {
	disk       *Disk
	generation int
}

// Close implements io.Closer.
func (l *lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.generation == l.disk.generation {
		l.disk.locked = false
	}
	return nil
}
