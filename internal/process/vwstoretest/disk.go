// Package vwstoretest is an in-memory data directory for tests of vwstore and vwcontrol. It can be
// slow, full and failing, loses what was not synced when it crashes, and lets bytes be damaged.
package vwstoretest

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwstore"
)

var (
	// ErrSync is what a failing sync returns.
	ErrSync = errors.New("input/output error on sync")
	// ErrFull is what a write to a full disk returns.
	ErrFull = errors.New("no space left on device")
	// ErrCrashed is what handles return that were opened before a crash.
	ErrCrashed = errors.New("the machine has crashed")
)

// content is a file. Its first synced bytes survive a crash.
type content struct {
	data   []byte
	synced int
	// ends are where each write after the last sync ends.
	ends []int
}

// afterPowerLoss returns what a loss of power leaves: what was synced, and each later write whole, torn or not at all,
// whatever became of the others, or none of them if they are gone. A write that is missing before a present one leaves
// zeros.
func (c *content) afterPowerLoss(random *rand.Rand, gone bool) *content {
	left := &content{data: slices.Clone(c.data[:c.synced])}
	begin := c.synced
	for _, end := range c.ends {
		if gone {
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
			left.data = append(left.data, make([]byte, begin-len(left.data))...)
			left.data = append(left.data, c.data[begin:begin+kept]...)
		}
		begin = end
	}
	left.synced = len(left.data)
	return left
}

// Disk is a data directory in memory.
type Disk struct {
	mu         sync.Mutex
	names      map[string]*content
	durable    map[string]*content
	locked     bool
	generation int
	syncs      int
	delay      time.Duration
	failSync   bool
	ignoreSync bool
	space      int
	// interrupted counts the operations that are left before all fail; negative is off.
	interrupted int
}

// Make returns an empty disk without faults.
func Make() *Disk {
	return &Disk{names: map[string]*content{}, durable: map[string]*content{}, space: 1 << 40, interrupted: -1}
}

// SetSyncDelay makes every sync take that long.
func (d *Disk) SetSyncDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// SetFailSync makes every sync fail, and drops the unsynced bytes as an operating system may do.
func (d *Disk) SetFailSync(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSync = fail
}

// SetIgnoreSync makes every sync report success without effect, as a lying device does. It plants a
// fault that checkers must find.
func (d *Disk) SetIgnoreSync(ignore bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignoreSync = ignore
}

// SetSpace lets only that many further bytes be written.
func (d *Disk) SetSpace(space int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.space = space
}

// Syncs returns the number of syncs of files.
func (d *Disk) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// Interrupt lets only that many further changes of the disk succeed, until Kill or Crash.
func (d *Disk) Interrupt(after int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.interrupted = after
}

// change reports the fault of the next change of the disk. The lock is held.
func (d *Disk) change() error {
	switch {
	case d.interrupted == 0:
		return ErrCrashed
	case d.interrupted > 0:
		d.interrupted--
	}
	return nil
}

// Kill makes the handles that were opened before useless, as the end of their process does. The operating system
// keeps what was written, synced or not.
func (d *Disk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release()
}

func (d *Disk) release() {
	d.generation++
	d.locked = false
	d.interrupted = -1
}

// Crash is a loss of power: what was not synced is kept or lost, each write and each name for itself. It also makes
// the handles that were opened before useless.
func (d *Disk) Crash(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release()
	names := map[string]*content{}
	all := maps.Clone(d.names)
	maps.Copy(all, d.durable)
	left := map[*content]*content{}
	// A device that lies loses all that it has not stored; at some losses of power so does an honest one.
	gone := d.ignoreSync || random.IntN(4) == 0
	for _, name := range slices.Sorted(maps.Keys(all)) {
		file := d.durable[name]
		if file != d.names[name] && random.IntN(2) == 0 {
			file = d.names[name]
		}
		if file == nil {
			continue
		}
		if left[file] == nil {
			left[file] = file.afterPowerLoss(random, gone)
		}
		names[name] = left[file]
	}
	d.names, d.durable = names, maps.Clone(names)
}

// Wipe makes the disk empty, as a replaced one is.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release()
	d.names, d.durable = map[string]*content{}, map[string]*content{}
}

// Damage flips the bits of one byte of a file.
func (d *Disk) Damage(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names[name].data[offset] ^= 0xFF
}

// Size returns the size of a file, zero when it does not exist.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if file, ok := d.names[name]; ok {
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
	return &lock{disk: d, generation: d.generation}, nil
}

// List implements vwstore.FileSystem.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.names)), nil
}

// Read implements vwstore.FileSystem.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file, ok := d.names[name]
	if !ok {
		return nil, trace.NotFound("no file %s", name)
	}
	return slices.Clone(file.data), nil
}

// Create implements vwstore.FileSystem.
func (d *Disk) Create(name string) (vwstore.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return nil, err
	}
	file := &content{}
	d.names[name] = file
	return &handle{disk: d, file: file, generation: d.generation}, nil
}

// Append implements vwstore.FileSystem.
func (d *Disk) Append(name string) (vwstore.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file, ok := d.names[name]
	if !ok {
		return nil, trace.NotFound("no file %s", name)
	}
	return &handle{disk: d, file: file, generation: d.generation}, nil
}

// Truncate implements vwstore.FileSystem.
func (d *Disk) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return err
	}
	file := d.names[name]
	file.data = file.data[:size]
	file.synced, file.ends = len(file.data), nil
	return nil
}

// Rename implements vwstore.FileSystem.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

// Remove implements vwstore.FileSystem.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

// SyncDir implements vwstore.FileSystem.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return err
	}
	if d.failSync {
		return ErrSync
	}
	d.durable = maps.Clone(d.names)
	return nil
}
