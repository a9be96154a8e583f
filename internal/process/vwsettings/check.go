package vwsettings

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

const (
	// maxMembers bounds the replicas of the control log. Each acceptance waits for a majority of them.
	maxMembers = 7
	// maxLease leaves 500 ms for clock drift and processing of the 3 s after which no task may start in a
	// data centre that is out.
	maxLease = vwunit.Duration(2500 * time.Millisecond)
)

var (
	roles  = []vwstate.Role{vwstate.RoleEntry, vwstate.RoleAgent, vwstate.RoleControl}
	levels = []string{"Debug", "Info", "Warn", "Error"}
)

// Check reports every fault of settings that are complete, defaults included. It opens no files.
func Check(s Settings) error {
	c := checker{settings: &s}
	c.checkAll()
	return trace.Wrap(refuse(c.faults))
}

// checker collects the faults of one Settings.
type checker struct {
	settings *Settings
	faults   []Fault
}

func (c *checker) checkAll() {
	if !slices.Contains(roles, c.settings.Role) {
		c.report("Role", fmt.Sprintf("%q is not a role", c.settings.Role), "write Entry, Agent or Control")
		return
	}
	c.checkKeys()
	c.checkNames()
	c.checkAddresses()
	c.checkMembers()
	c.checkLimits()
	c.checkTimeouts()
	c.checkFixed()
	if !slices.Contains(levels, c.settings.Log.Level) {
		c.report("Log.Level", fmt.Sprintf("%q is not a log level", c.settings.Log.Level), "write Debug, Info, Warn or Error")
	}
}

// checkKeys reports keys that the role does not have, that it lacks, and amounts that are not positive.
func (c *checker) checkKeys() {
	role := c.settings.Role
	for _, k := range keysOf(c.settings) {
		switch {
		case !k.has(role) && !k.isUnset():
			c.report(k.path, fmt.Sprintf("a process with the role %s has no such key", role), "delete the line")
		case k.mustSet(role) && k.isUnset():
			c.report(k.path, "the key is missing or empty", "set it; the example of the role in examples/settings shows how")
		case k.has(role) && k.value.CanInt() && k.value.Int() <= 0:
			c.report(k.path, fmt.Sprintf("%v is not above zero", k.value.Interface()), "write a positive value or delete the line for the default")
		}
	}
}

// checkFixed reports keys that this version cannot change, unless they have another fault already.
func (c *checker) checkFixed() {
	defaults := Defaults(c.settings.Role)
	known := keysOf(&defaults)
	for i, k := range keysOf(c.settings) {
		reported := slices.ContainsFunc(c.faults, func(f Fault) bool { return f.Key == k.path })
		if k.fixed && !reported && !k.value.Equal(known[i].value) {
			c.report(k.path, fmt.Sprintf("\"%v\" is not supported by this version", k.value.Interface()), fmt.Sprintf("write \"%v\" or delete the line", known[i].value.Interface()))
		}
	}
}

// checkNames reports names that the rules file could not contain, such as a data centre that could never
// be taken out.
func (c *checker) checkNames() {
	s := c.settings
	names := []struct{ path, text string }{
		{"Cluster", string(s.Cluster)},
		{"Process", string(s.Process)},
		{"DataCentre", string(s.DataCentre)},
		{"Rack", string(s.Rack)},
	}
	for _, n := range names {
		if n.text != "" && !vwrule.IsName(n.text) {
			c.report(n.path, fmt.Sprintf("%q is not a name", n.text), "write "+vwrule.NameForm)
		}
	}
}

func (c *checker) checkAddresses() {
	a := c.settings.Addresses
	c.checkAddress("Addresses.Callers", a.Callers, canListen)
	c.checkAddress("Addresses.Operators", a.Operators, canListen)
	c.checkAddress("Addresses.Announce", a.Announce, canListen)
	c.checkAddress("Addresses.Link", a.Link, canListen|canBeDialled)
	for _, address := range c.settings.EntryAddresses {
		c.checkAddress("EntryAddresses", address, canBeDialled)
	}
	for _, address := range c.settings.ControlMembers {
		c.checkAddress("ControlMembers", address, canBeDialled)
	}
	c.checkSamePort()
}

// addressUse says what an address must be good for.
type addressUse uint8

const (
	// canListen permits port 0, which the system replaces by a free one.
	canListen addressUse = 1 << iota
	// canBeDialled forbids the unspecified host, which means every interface of the listener.
	canBeDialled
)

func (c *checker) checkAddress(path, address string, use addressUse) {
	if address == "" {
		return
	}
	host, portText, err := net.SplitHostPort(address)
	port, portErr := strconv.ParseUint(portText, 10, 16)
	if err != nil || portErr != nil || host == "" {
		c.report(path, fmt.Sprintf("%q is not host:port", address), "write an address such as 10.1.0.11:7302")
		return
	}
	if port == 0 && use&canListen == 0 {
		c.report(path, fmt.Sprintf("%q has port 0, which cannot be dialled", address), "write the port at which the other process listens")
	}
	if ip, err := netip.ParseAddr(host); err == nil && ip.IsUnspecified() && use&canBeDialled != 0 {
		c.report(path, fmt.Sprintf("%q cannot be dialled by other processes", address), "write an address of this machine that the others reach")
	}
}

// checkSamePort reports listeners of one protocol that would need the same address. The link uses UDP.
func (c *checker) checkSamePort() {
	a := c.settings.Addresses
	_, port, err := net.SplitHostPort(a.Operators)
	if err != nil || port == "0" {
		return
	}
	if a.Operators == a.Callers {
		c.report("Addresses.Callers", fmt.Sprintf("%q is the operators' address as well", a.Callers), "choose another port")
	}
	if a.Operators == a.Announce {
		c.report("Addresses.Announce", fmt.Sprintf("%q is the operators' address as well", a.Announce), "choose another port")
	}
}

func (c *checker) checkMembers() {
	s := c.settings
	if len(s.ControlMembers) > maxMembers {
		c.report("ControlMembers", fmt.Sprintf("%d members are more than %d", len(s.ControlMembers), maxMembers), "name three or five members in different data centres")
	}
	for i, address := range s.ControlMembers {
		if slices.Contains(s.ControlMembers[:i], address) {
			c.report("ControlMembers", fmt.Sprintf("%q is named twice", address), "name each member once")
		}
	}
	listed := slices.Contains(s.ControlMembers, s.Addresses.Link)
	if s.IsControlMember() && !listed && len(s.ControlMembers) > 0 {
		c.report("ControlMembers", fmt.Sprintf("this process has a DataDirectory, but its link address %q is not among the members", s.Addresses.Link), "add the address, or delete DataDirectory")
	}
	if !s.IsControlMember() && listed && s.Role == vwstate.RoleEntry {
		c.report("ControlMembers", fmt.Sprintf("this process is named as a member (%q) but has no DataDirectory", s.Addresses.Link), "set DataDirectory, or delete the address")
	}
}

func (c *checker) checkLimits() {
	l := c.settings.Limits
	if l.BackendConnections < l.Slots {
		c.report("Limits.BackendConnections", fmt.Sprintf("%d connections cannot serve %d slots", l.BackendConnections, l.Slots), fmt.Sprintf("write at least %d", l.Slots))
	}
	if l.JobBytes > vwmessage.MaxEnvelope/2 {
		c.report("Limits.JobBytes", fmt.Sprintf("%v do not fit into a message between processes", l.JobBytes), fmt.Sprintf("write at most \"%v\"", vwunit.Bytes(vwmessage.MaxEnvelope/2)))
	}
	if l.QueueBytes < l.JobBytes {
		c.report("Limits.QueueBytes", fmt.Sprintf("a job of JobBytes = \"%v\" could never be queued", l.JobBytes), fmt.Sprintf("write at least \"%v\"", l.JobBytes))
	}
	if l.IntakeBytes < 2*l.JobBytes {
		c.report("Limits.IntakeBytes", fmt.Sprintf("one caller may take half, so a job of JobBytes = \"%v\" could never be read", l.JobBytes), fmt.Sprintf("write at least \"%v\"", 2*l.JobBytes))
	}
	if l.QueueLength < l.TasksPerJob {
		c.report("Limits.QueueLength", fmt.Sprintf("a job of TasksPerJob = %d could never be queued", l.TasksPerJob), fmt.Sprintf("write at least %d", l.TasksPerJob))
	}
}

func (c *checker) checkTimeouts() {
	t := c.settings.Timeouts
	if t.Lease > maxLease {
		c.report("Timeouts.Lease", fmt.Sprintf("with \"%v\" a task could start too late in a data centre that is out", t.Lease), fmt.Sprintf("write at most \"%v\"", maxLease))
	}
	c.checkRatio("Timeouts.Renewal", t.Renewal, "Lease", t.Lease, 2)
	c.checkRatio("Timeouts.Ping", t.Ping, "Idle", t.Idle, 2)
	if t.Lease > t.Registration {
		c.report("Timeouts.Registration", fmt.Sprintf("\"%v\" is shorter than Lease = \"%v\"", t.Registration, t.Lease), fmt.Sprintf("write at least \"%v\"", t.Lease))
	}
	c.checkRatio("Timeouts.Heartbeat", t.Heartbeat, "Election", t.Election, 6)
	if t.Election >= t.Lease {
		c.report("Timeouts.Election", fmt.Sprintf("with \"%v\" every lease of %v ends before a new leader can renew it", t.Election, t.Lease), fmt.Sprintf("write less than \"%v\"", t.Lease))
	}
}

// checkRatio reports a duration that does not fit so many times into a longer one. One lost message would
// otherwise count as the end of a process.
func (c *checker) checkRatio(path string, shorter vwunit.Duration, longerName string, longer vwunit.Duration, times vwunit.Duration) {
	if shorter*times > longer {
		c.report(path, fmt.Sprintf("\"%v\" does not fit %d times into %s = \"%v\"", shorter, times, longerName, longer), fmt.Sprintf("write at most \"%v\"", longer/times))
	}
}

func (c *checker) report(path, message, suggestion string) {
	c.faults = append(c.faults, Fault{Key: path, Message: message, Suggestion: suggestion})
}
