package vwprocess

import (
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwstore"
)

// timedFiles tells how long each synced write takes.
type timedFiles struct {
	vwstore.FileSystem
	synced func(time.Duration)
}

// Create implements vwstore.FileSystem.
func (t *timedFiles) Create(name string) (vwstore.File, error) {
	return t.wrap(t.FileSystem.Create(name))
}

// Append implements vwstore.FileSystem.
func (t *timedFiles) Append(name string) (vwstore.File, error) {
	return t.wrap(t.FileSystem.Append(name))
}

func (t *timedFiles) wrap(file vwstore.File, err error) (vwstore.File, error) {
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &timedFile{File: file, synced: t.synced}, nil
}

type timedFile struct {
	vwstore.File
	synced func(time.Duration)
}

// Sync implements vwstore.File.
func (f *timedFile) Sync() error {
	begun := time.Now()
	err := f.File.Sync()
	f.synced(time.Since(begun))
	return err
}
