package vwkeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// AuthorityFile holds the certificates of the trusted authorities. Every process has a copy.
	AuthorityFile = "authority.pem"
	// AuthorityKeyFile holds the authority's certificate and key. No process needs it.
	AuthorityKeyFile = "authority-key.pem"
	suffix           = ".pem"
)

// Folder is a directory of PEM files.
type Folder string

// ProcessFile returns the path of the certificate and key of process.
func (f Folder) ProcessFile(process vwid.Process) string {
	return f.path(string(process) + suffix)
}

// AuthorityFile returns the path of the trusted authorities' certificates.
func (f Folder) AuthorityFile() string {
	return f.path(AuthorityFile)
}

// SaveAuthority writes the authority and refuses to replace one, because every certificate that
// the existing one issued would become useless.
func (f Folder) SaveAuthority(authority *Authority, access Access) error {
	for _, name := range []string{AuthorityKeyFile, AuthorityFile} {
		if _, err := os.Lstat(f.path(name)); !os.IsNotExist(err) {
			return trace.AlreadyExists("%s exists; an authority is never replaced in place", f.path(name))
		}
	}
	return f.writeAuthority(authority, access)
}

// writeAuthority writes the authority's files, or replaces them.
func (f Folder) writeAuthority(authority *Authority, access Access) error {
	certificates := []*x509.Certificate{authority.certificate}
	if err := writeBundle(f.path(AuthorityKeyFile), bundle{certificates: certificates, key: authority.key}, access); err != nil {
		return trace.Wrap(err)
	}
	if err := writeBundle(f.AuthorityFile(), bundle{certificates: certificates}, access); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(f.open(access))
}

// open gives an existing folder the mode of access whatever the umask and earlier releases made of it.
func (f Folder) open(access Access) error {
	if access != AllUsers {
		return nil
	}
	return trace.ConvertSystemError(os.Chmod(string(f), access.folderMode()))
}

// LoadAuthority reads the authority with its key.
func (f Folder) LoadAuthority(access Access) (*Authority, error) {
	content, err := readBundle(f.path(AuthorityKeyFile), access)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := content.keyPair(); err != nil {
		return nil, trace.Wrap(err)
	}
	if !content.certificates[0].IsCA {
		return nil, trace.BadParameter("%s does not hold an authority", f.path(AuthorityKeyFile))
	}
	return &Authority{certificate: content.certificates[0], key: content.key}, nil
}

// SaveProcess writes the certificate and key of a process.
func (f Folder) SaveProcess(certificate *tls.Certificate) error {
	content, err := bundleOf(certificate)
	if err != nil {
		return trace.Wrap(err)
	}
	process := processOf(certificate.Leaf)
	if err := checkFileName(process); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(writeBundle(f.ProcessFile(process), content, OwnerOnly))
}

// Processes returns the names of the processes with a certificate in the folder.
func (f Folder) Processes() ([]vwid.Process, error) {
	paths, err := filepath.Glob(f.path("*" + suffix))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var processes []vwid.Process
	for _, path := range paths {
		name := filepath.Base(path)
		if name != AuthorityFile && name != AuthorityKeyFile {
			processes = append(processes, vwid.Process(strings.TrimSuffix(name, suffix)))
		}
	}
	slices.Sort(processes)
	return processes, nil
}

func (f Folder) path(name string) string {
	return filepath.Join(string(f), name)
}

// checkFileName keeps a process name from leaving the folder or replacing the authority's files.
func checkFileName(process vwid.Process) error {
	name := string(process)
	reserved := name+suffix == AuthorityFile || name+suffix == AuthorityKeyFile
	if reserved || name == "" || strings.HasPrefix(name, ".") || name != filepath.Base(name) {
		return trace.BadParameter("process name %q cannot be a file name", process)
	}
	return nil
}
