//go:build review2

package main

import (
	"errors"
	"os"
	"time"
)

const (
	// catchUp is catch-up-s: a new machine counts as lost for this long after its start.
	catchUp = 4 * time.Second
	// recovery is recovery-s, within which the installation recovers from a final fault.
	recovery = 12 * time.Second
	// readBack is how long the operator asks for the configuration at the end. It exceeds contact-ms.
	readBack = 5 * time.Second
	// coreMachines is the number of core machines, of which two may be lost at once.
	coreMachines = 5
)

// playReplace exchanges two core machines as planned, acknowledges a configuration, and takes the disks of two others.
func playReplace(s *stage) (bool, error) {
	core, seeds, err := s.startCore(coreMachines)
	if err != nil {
		return false, err
	}
	if !s.replaceConfig(core, configuration(1, 1500), 20*time.Second) {
		return false, errors.New("the first configuration was not acknowledged")
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		if core, err = s.exchangeTwo(core, seeds); err != nil {
			return false, err
		}
	}
	// The successors have had their time long ago when the disks are lost.
	time.Sleep(2 * catchUp)
	if !s.replaceConfig(core, configuration(2, 1400), 10*time.Second) {
		return false, errors.New("the second configuration was not acknowledged")
	}
	if err := s.wipeTwo(core[1:3]); err != nil {
		return false, err
	}
	time.Sleep(recovery)
	return s.readsBack(core, 2), nil
}

// exchangeTwo starts two new core machines, and stops two old ones after each other once the new ones have had their time.
func (s *stage) exchangeTwo(core []*machine, seeds []string) ([]*machine, error) {
	for number := coreMachines + 1; number <= coreMachines+2; number++ {
		m := s.addMachine("control", number, seeds)
		if err := m.start(false); err != nil {
			return nil, err
		}
		core = append(core, m)
	}
	time.Sleep(catchUp)
	for _, old := range core[3:5] {
		old.stop()
		time.Sleep(grace)
	}
	return append(core[:3:3], core[5:]...), nil
}

// wipeTwo kills two machines, removes their disks and starts them again a second later.
func (s *stage) wipeTwo(lost []*machine) error {
	for _, m := range lost {
		m.kill()
		s.note("%s is killed and loses its disk", m.name)
	}
	for _, m := range lost {
		if err := os.RemoveAll(m.dataFolder()); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	for _, m := range lost {
		if err := m.start(false); err != nil {
			return err
		}
	}
	return nil
}

// readsBack asks all daemons for the configuration again and again, and reports whether the acknowledged version came and
// nothing older did.
func (s *stage) readsBack(core []*machine, acknowledged int) bool {
	came, older := false, false
	for deadline := time.Now().Add(readBack); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for _, m := range core {
			status, version := s.readConfig(m)
			s.note("operator: %s answers the read with status %d, version %d", m.name, status, version)
			came = came || status == 200 && version >= acknowledged
			older = older || status == 200 && version < acknowledged
		}
	}
	s.note("version %d was acknowledged; it was read back: %t; an older one was: %t", acknowledged, came, older)
	return came && !older
}
