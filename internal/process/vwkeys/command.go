package vwkeys

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Command holds the operations of the command keys on one folder. Each writes what it did to Out.
type Command struct {
	Folder Folder
	// Access is who may read the key of a new authority.
	Access Access
	Out    io.Writer
}

// MakeAuthority makes the authority of cluster.
func (c Command) MakeAuthority(cluster vwid.Cluster) error {
	return c.MakeAuthorityFrom(cluster, DefaultFirstDay())
}

// MakeAuthorityFrom makes the authority of cluster, valid from a given time.
func (c Command) MakeAuthorityFrom(cluster vwid.Cluster, from time.Time) error {
	authority, err := MakeAuthorityFrom(cluster, from)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := c.Folder.SaveAuthority(authority, c.Access); err != nil {
		return trace.Wrap(err)
	}
	return c.printAuthority(authority)
}

// KeepAuthority makes the authority of cluster unless the folder holds one. With AllUsers, where every process needs
// the key, it mends the modes and a missing certificate, and replaces an authority whose key is missing or damaged:
// no process could start with it.
func (c Command) KeepAuthority(cluster vwid.Cluster, from time.Time) error {
	err := c.MakeAuthorityFrom(cluster, from)
	if !trace.IsAlreadyExists(err) || c.Access != AllUsers {
		return ignoreExisting(err)
	}
	authority, err := c.Folder.LoadAuthority(c.Access)
	if trace.IsAccessDenied(err) {
		return trace.Wrap(err)
	}
	if err != nil {
		if err := c.printf("the authority is replaced because it cannot be used: %v\n", err); err != nil {
			return err
		}
		if authority, err = MakeAuthorityFrom(cluster, from); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := c.Folder.writeAuthority(authority, c.Access); err != nil {
		return trace.Wrap(err)
	}
	return c.printAuthority(authority)
}

func ignoreExisting(err error) error {
	if trace.IsAlreadyExists(err) {
		return nil
	}
	return trace.Wrap(err)
}

func (c Command) printAuthority(authority *Authority) error {
	advice := "keep secret"
	if c.Access == AllUsers {
		advice = "readable for all users; keep others out of its folder"
	}
	return c.printf("authority of cluster %s, valid until %s\n%s: %s\ncopy to every process: %s\n",
		authority.Cluster(), formatTime(authority.certificate.NotAfter), advice, c.Folder.path(AuthorityKeyFile), c.Folder.AuthorityFile())
}

// Issue makes the certificates of processes. It refuses to replace an existing one; Renew does that.
func (c Command) Issue(processes ...vwid.Process) error {
	authority, err := c.Folder.LoadAuthority(OwnerOnly)
	if err != nil {
		return trace.Wrap(err)
	}
	existing, err := c.Folder.Processes()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, process := range processes {
		for _, other := range existing {
			if other == process {
				return trace.AlreadyExists("process %q has a certificate; renew it instead", process)
			}
		}
		if err := c.issue(authority, process); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Renew replaces the certificates that have less than RenewBefore left, or all of them.
func (c Command) Renew(all bool) error {
	authority, err := c.Folder.LoadAuthority(OwnerOnly)
	if err != nil {
		return trace.Wrap(err)
	}
	processes, err := c.Folder.Processes()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, process := range processes {
		content, err := readBundle(c.Folder.ProcessFile(process), OwnerOnly)
		if err != nil {
			return trace.Wrap(err)
		}
		if !all && time.Until(content.certificates[0].NotAfter) > RenewBefore {
			continue
		}
		if err := c.issue(authority, process); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Show lists the certificates of the folder and says of each whether peers accept it.
func (c Command) Show() error {
	trusted, err := readBundle(c.Folder.AuthorityFile(), OwnerOnly)
	if err != nil {
		return trace.Wrap(err)
	}
	processes, err := c.Folder.Processes()
	if err != nil {
		return trace.Wrap(err)
	}
	table := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	var failures []error
	add := func(format string, args ...any) {
		_, err := fmt.Fprintf(table, format, args...)
		failures = append(failures, err)
	}
	add("NAME\tCLUSTER\tVALID UNTIL\tSTATE\n")
	for _, authority := range trusted.certificates {
		add("authority\t%s\t%s\t%s\n", clusterOf(authority), formatTime(authority.NotAfter), stateOf(authority.NotAfter))
	}
	for _, process := range processes {
		content, err := readBundle(c.Folder.ProcessFile(process), OwnerOnly)
		if err != nil {
			add("%s\t\t\t%v\n", process, trace.Unwrap(err))
			continue
		}
		leaf := content.certificates[0]
		state := stateOf(leaf.NotAfter)
		if err := verify(leaf, trusted.certificates, clusterOf(leaf)); err != nil {
			state = trace.UserMessage(err)
		}
		add("%s\t%s\t%s\t%s\n", process, clusterOf(leaf), formatTime(leaf.NotAfter), state)
	}
	return trace.NewAggregate(append(failures, table.Flush())...)
}

func (c Command) issue(authority *Authority, process vwid.Process) error {
	certificate, err := authority.Issue(process)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := c.Folder.SaveProcess(certificate); err != nil {
		return trace.Wrap(err)
	}
	return c.printf("%s: certificate of process %s, valid until %s\n",
		c.Folder.ProcessFile(process), process, formatTime(certificate.Leaf.NotAfter))
}

func (c Command) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(c.Out, format, args...)
	return trace.Wrap(err)
}

func stateOf(notAfter time.Time) string {
	switch left := time.Until(notAfter); {
	case left <= 0:
		return "expired"
	case left <= RenewBefore:
		return "due for renewal"
	default:
		return "valid"
	}
}

func formatTime(t time.Time) string {
	return t.UTC().Format(time.RFC3339)
}
