package vwstore

import "io"

// FileSystem gives access to the files of one data directory. Names are file names without a path. Data written to a
// file is durable after File.Sync; the creation, renaming and removal of files is durable after SyncDir. An operation
// that the operating system refuses for lack of room returns an error that wraps its ENOSPC or EDQUOT.
type FileSystem interface {
	// Lock takes an exclusive lock, which is held until the returned closer is closed. It returns ErrLocked when the
	// lock is already held.
	Lock(name string) (io.Closer, error)
	// List returns the names of all files in ascending order.
	List() ([]string, error)
	// Read returns the whole content of a file.
	Read(name string) ([]byte, error)
	// Create opens a new, empty file for writing and replaces an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Truncate shortens a file and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	Sync() error
}
