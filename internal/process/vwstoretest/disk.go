// Package vwstoretest provides an in-memory data directory for tests of vwstore and vwcontrol. It injects slow and
// failing syncs, a full disk, power losses that drop unsynced data, and damaged bytes.
package vwstoretest

import (
	"errors"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwstore"
)

var (
	// ErrSync is returned by a sync that SetFailSync makes fail.
	ErrSync = errors.New("input/output error on sync")
	// ErrFull is returned by a write that exceeds the free space, and by all that SetFull makes fail.
	ErrFull = os.NewSyscallError("write", syscall.ENOSPC)
	// ErrCrashed is returned by handles that were opened before a kill or crash, and by changes after the limit that
	// FailAfterChanges sets.
	ErrCrashed = errors.New("the machine has crashed")
)

// fileContent is the content of a file. Its first synced bytes survive a crash.
type fileContent struct {
	data   []byte
	synced int
	// writeEnds holds the end offset of each write since the last sync.
	writeEnds []int
}

// afterPowerLoss returns the content after a power loss: the synced bytes, and each later write whole, torn or not at
// all, independently of the others, or none of them if loseUnsynced is set. A lost write before a kept one reads as
// zeros.
func (c *fileContent) afterPowerLoss(random *rand.Rand, loseUnsynced bool) *fileContent {
	survivor := &fileContent{data: slices.Clone(c.data[:c.synced])}
	begin := c.synced
	for _, end := range c.writeEnds {
		if loseUnsynced {
			break
		}
		kept := 0
		switch random.IntN(3) {
		case 0:
			kept = end - begin
		case 1:
			kept = random.IntN(end - begin + 1)
		}
		if kept > 0 {
			survivor.data = append(survivor.data, make([]byte, begin-len(survivor.data))...)
			survivor.data = append(survivor.data, c.data[begin:begin+kept]...)
		}
		begin = end
	}
	survivor.synced = len(survivor.data)
	return survivor
}

// Disk implements vwstore.FileSystem in memory.
type Disk struct {
	mu           sync.Mutex
	files        map[string]*fileContent
	durableFiles map[string]*fileContent
	locked       bool
	generation   int
	syncs        int
	syncDelay    time.Duration
	// syncFailure is nil or the error of every sync.
	syncFailure error
	ignoreSync  bool
	freeBytes   int
	// refusesNames makes renaming, removing and truncating fail while no byte is free.
	refusesNames bool
	// remainingChanges is the number of changes that succeed before all fail. A negative value means no limit.
	remainingChanges int
}

// Make returns an empty disk without faults.
func Make() *Disk {
	return &Disk{files: map[string]*fileContent{}, durableFiles: map[string]*fileContent{}, freeBytes: math.MaxInt, remainingChanges: -1}
}

// SetSyncDelay makes every sync of a file take delay.
func (d *Disk) SetSyncDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncDelay = delay
}

// SetFailSync makes every sync fail, and drops the unsynced bytes as an operating system may do.
func (d *Disk) SetFailSync(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncFailure = nil
	if fail {
		d.syncFailure = ErrSync
	}
}

// SetFullAtSync makes every sync fail for lack of room, and drops the unsynced bytes, as an operating system does that
// allocates the blocks of a file late.
func (d *Disk) SetFullAtSync() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncFailure = ErrFull
}

// SetIgnoreSync makes every sync of a file report success without effect, as a device that ignores flushes does. It
// injects a fault that checkers must detect.
func (d *Disk) SetIgnoreSync(ignore bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignoreSync = ignore
}

// SetFull lets the disk take room further bytes. After them, a write that exceeds them is torn, and no file can be
// created; with refusesNames no file can be renamed, removed or truncated either. Reads and syncs succeed.
func (d *Disk) SetFull(room int, refusesNames bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeBytes, d.refusesNames = room, refusesNames
}

// EndFull ends the effect of SetFull.
func (d *Disk) EndFull() {
	d.SetFull(math.MaxInt, false)
}

// changeName counts a change of a name or a size, and returns ErrFull if the disk is full and refuses it. The caller
// holds mu.
func (d *Disk) changeName() error {
	if d.freeBytes == 0 && d.refusesNames {
		return ErrFull
	}
	return d.consumeChange()
}

// release gives back the room of removed bytes. The caller holds mu.
func (d *Disk) release(size int) {
	d.freeBytes += min(size, math.MaxInt-d.freeBytes)
}

// Syncs returns the number of syncs of files.
func (d *Disk) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// FailAfterChanges lets the next after changes of the disk succeed and fails all later ones, until Kill, Crash or Wipe.
// A negative number removes the limit.
func (d *Disk) FailAfterChanges(after int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remainingChanges = after
}

// consumeChange counts one change of the disk and returns ErrCrashed if none is left. The caller holds mu.
func (d *Disk) consumeChange() error {
	switch {
	case d.remainingChanges == 0:
		return ErrCrashed
	case d.remainingChanges > 0:
		d.remainingChanges--
	}
	return nil
}

// Kill ends the process: it invalidates all open handles. All written data is kept, synced or not, as the operating
// system keeps it.
func (d *Disk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.invalidateHandles()
}

// invalidateHandles invalidates all open handles, releases the lock and removes the limit of FailAfterChanges. The
// caller holds mu.
func (d *Disk) invalidateHandles() {
	d.generation++
	d.locked = false
	d.remainingChanges = -1
}

// Crash simulates a power loss: each unsynced write and each unsynced change of a name is kept or lost independently.
// It also invalidates all open handles.
func (d *Disk) Crash(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.invalidateHandles()
	files := map[string]*fileContent{}
	all := maps.Clone(d.files)
	maps.Copy(all, d.durableFiles)
	survivors := map[*fileContent]*fileContent{}
	// A device that ignores syncs loses all unsynced writes; a correct device does so at some power losses.
	loseUnsynced := d.ignoreSync || random.IntN(4) == 0
	for _, name := range slices.Sorted(maps.Keys(all)) {
		file := d.durableFiles[name]
		if file != d.files[name] && random.IntN(2) == 0 {
			file = d.files[name]
		}
		if file == nil {
			continue
		}
		if survivors[file] == nil {
			survivors[file] = file.afterPowerLoss(random, loseUnsynced)
		}
		files[name] = survivors[file]
	}
	d.files, d.durableFiles = files, maps.Clone(files)
}

// Wipe empties the disk, as when it is replaced by one with room, and invalidates all open handles.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.invalidateHandles()
	d.files, d.durableFiles = map[string]*fileContent{}, map[string]*fileContent{}
	d.freeBytes, d.refusesNames = math.MaxInt, false
}

// Damage inverts all bits of one byte of a file.
func (d *Disk) Damage(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].data[offset] ^= 0xFF
}

// Size returns the size of a file, zero when it does not exist.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if file, ok := d.files[name]; ok {
		return len(file.data)
	}
	return 0
}

// Lock implements vwstore.FileSystem.
func (d *Disk) Lock(name string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, vwstore.ErrLocked{File: name}
	}
	d.locked = true
	return &lockHandle{disk: d, generation: d.generation}, nil
}

// List implements vwstore.FileSystem.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

// Read implements vwstore.FileSystem.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file, ok := d.files[name]
	if !ok {
		return nil, trace.NotFound("no file %s", name)
	}
	return slices.Clone(file.data), nil
}

// Create implements vwstore.FileSystem.
func (d *Disk) Create(name string) (vwstore.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.consumeChange(); err != nil {
		return nil, err
	}
	if d.freeBytes == 0 {
		return nil, ErrFull
	}
	file := &fileContent{}
	d.files[name] = file
	return &fileHandle{disk: d, file: file, generation: d.generation}, nil
}

// Append implements vwstore.FileSystem.
func (d *Disk) Append(name string) (vwstore.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file, ok := d.files[name]
	if !ok {
		return nil, trace.NotFound("no file %s", name)
	}
	return &fileHandle{disk: d, file: file, generation: d.generation}, nil
}

// Truncate implements vwstore.FileSystem.
func (d *Disk) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.changeName(); err != nil {
		return err
	}
	file := d.files[name]
	d.release(len(file.data) - int(size))
	file.data = file.data[:size]
	file.synced, file.writeEnds = len(file.data), nil
	return nil
}

// Rename implements vwstore.FileSystem.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.changeName(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Remove implements vwstore.FileSystem.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.changeName(); err != nil {
		return err
	}
	file, ok := d.files[name]
	if !ok {
		return trace.NotFound("no file %s", name)
	}
	d.release(len(file.data))
	delete(d.files, name)
	return nil
}

// SyncDir implements vwstore.FileSystem.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.consumeChange(); err != nil {
		return err
	}
	if d.syncFailure != nil {
		return d.syncFailure
	}
	d.durableFiles = maps.Clone(d.files)
	return nil
}
