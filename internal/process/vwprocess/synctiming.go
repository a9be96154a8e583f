package vwprocess

import (
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwstore"
)

// syncTimingFileSystem reports the duration of each Sync of its files to observeSync.
type syncTimingFileSystem struct {
	vwstore.FileSystem
	observeSync func(time.Duration)
}

// Create implements vwstore.FileSystem.
func (s *syncTimingFileSystem) Create(name string) (vwstore.File, error) {
	return s.wrap(s.FileSystem.Create(name))
}

// Append implements vwstore.FileSystem.
func (s *syncTimingFileSystem) Append(name string) (vwstore.File, error) {
	return s.wrap(s.FileSystem.Append(name))
}

func (s *syncTimingFileSystem) wrap(file vwstore.File, err error) (vwstore.File, error) {
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &syncTimingFile{File: file, observeSync: s.observeSync}, nil
}

type syncTimingFile struct {
	vwstore.File
	observeSync func(time.Duration)
}

// Sync implements vwstore.File.
func (f *syncTimingFile) Sync() error {
	start := time.Now()
	err := f.File.Sync()
	f.observeSync(time.Since(start))
	return err
}
