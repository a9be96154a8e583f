package vwstore

import (
	"strings"

	"github.com/gravitational/trace"
)

// asidePrefix begins the names of files that SetAside has kept.
const asidePrefix = "damaged-"

// SetAside makes a damaged data directory an empty one, which gets a new member id when it is opened. The damaged
// files are kept under other names; those of an earlier call are removed.
func SetAside(files FileSystem) error {
	lock, err := files.Lock(lockName)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.NewAggregate(setAside(files), lock.Close())
}

func setAside(files FileSystem) error {
	names, err := files.List()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range names {
		if strings.HasPrefix(name, asidePrefix) {
			if err := files.Remove(name); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	// The identity goes first and for good: with an empty log it must never return.
	for _, move := range []func(name string) bool{
		func(name string) bool { return name == identityName },
		func(name string) bool {
			return name != identityName && name != lockName && !strings.HasPrefix(name, asidePrefix)
		},
	} {
		if err := moveAside(files, names, move); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// moveAside makes durable that some files have other names.
func moveAside(files FileSystem, names []string, move func(name string) bool) error {
	for _, name := range names {
		if !move(name) {
			continue
		}
		if err := files.Rename(name, asidePrefix+name); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(files.SyncDir())
}
