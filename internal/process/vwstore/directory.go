package vwstore

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

// Directory implements FileSystem by a directory of the operating system.
type Directory struct{ path string }

// OpenDirectory returns the data directory at path, and creates it when it does not exist.
func OpenDirectory(path string) (*Directory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, convertError(err)
	}
	return &Directory{path: path}, nil
}

// Lock implements FileSystem by an advisory lock that the operating system releases when the process ends.
func (d *Directory) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(d.join(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, convertError(err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		closeErr := file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked{File: d.join(name)}
		}
		return nil, trace.NewAggregate(err, closeErr)
	}
	return file, nil
}

// List implements FileSystem.
func (d *Directory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, convertError(err)
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// Read implements FileSystem.
func (d *Directory) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(d.join(name))
	return data, convertError(err)
}

// Create implements FileSystem.
func (d *Directory) Create(name string) (File, error) {
	return d.open(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
}

// Append implements FileSystem.
func (d *Directory) Append(name string) (File, error) {
	return d.open(name, os.O_WRONLY|os.O_APPEND)
}

func (d *Directory) open(name string, flag int) (File, error) {
	file, err := os.OpenFile(d.join(name), flag, 0o600)
	if err != nil {
		return nil, convertError(err)
	}
	return file, nil
}

// Truncate implements FileSystem.
func (d *Directory) Truncate(name string, size int64) error {
	file, err := os.OpenFile(d.join(name), os.O_WRONLY, 0)
	if err != nil {
		return convertError(err)
	}
	err = file.Truncate(size)
	if err == nil {
		err = failedSync(file.Sync())
	}
	return trace.NewAggregate(err, file.Close())
}

// Rename implements FileSystem.
func (d *Directory) Rename(from, to string) error {
	return convertError(os.Rename(d.join(from), d.join(to)))
}

// Remove implements FileSystem.
func (d *Directory) Remove(name string) error {
	return convertError(os.Remove(d.join(name)))
}

// SyncDir implements FileSystem.
func (d *Directory) SyncDir() error {
	directory, err := os.Open(d.path)
	if err != nil {
		return convertError(err)
	}
	return trace.NewAggregate(directory.Sync(), directory.Close())
}

// convertError converts an error of the operating system, and keeps the cause of a refusal for lack of room.
func convertError(err error) error {
	if isNoRoom(err) {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(err)
}

func (d *Directory) join(name string) string {
	return filepath.Join(d.path, name)
}

// Size returns the total size of all files in bytes, without files that are removed during the call.
func (d *Directory) Size() int64 {
	entries, _ := os.ReadDir(d.path)
	size := int64(0)
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil {
			size += info.Size()
		}
	}
	return size
}
