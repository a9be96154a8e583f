package vwstoretest

import "time"

// fileHandle is an open file of a Disk.
type fileHandle struct {
	disk       *Disk
	file       *fileContent
	generation int
}

// Write implements vwstore.File. It writes as many bytes as fit and returns ErrFull if some do not.
func (h *fileHandle) Write(data []byte) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.generation != h.disk.generation {
		return 0, ErrCrashed
	}
	if err := h.disk.consumeChange(); err != nil {
		return 0, err
	}
	written := min(len(data), h.disk.freeBytes)
	h.disk.freeBytes -= written
	h.file.data = append(h.file.data, data[:written]...)
	h.file.writeEnds = append(h.file.writeEnds, len(h.file.data))
	if written < len(data) {
		return written, ErrFull
	}
	return written, nil
}

// Sync implements vwstore.File.
func (h *fileHandle) Sync() error {
	h.disk.mu.Lock()
	delay := h.disk.syncDelay
	h.disk.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.generation != h.disk.generation {
		return ErrCrashed
	}
	if err := h.disk.consumeChange(); err != nil {
		return err
	}
	if h.disk.syncFailure != nil {
		h.file.data, h.file.writeEnds = h.file.data[:h.file.synced], nil
		return h.disk.syncFailure
	}
	h.disk.syncs++
	if h.disk.ignoreSync {
		return nil
	}
	h.file.synced, h.file.writeEnds = len(h.file.data), nil
	return nil
}

// Close implements vwstore.File.
func (h *fileHandle) Close() error {
	return nil
}

// lockHandle is the held lock of a Disk.
type lockHandle struct {
	disk       *Disk
	generation int
}

// Close implements io.Closer.
func (l *lockHandle) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.generation == l.disk.generation {
		l.disk.locked = false
	}
	return nil
}
