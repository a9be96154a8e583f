package vwkeys

import (
	"crypto/x509"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// OpenIssuing returns the keys of a process that issues its own certificate with the key of the folder's
// authority. The certificate is valid as long as the authority, so no jump of a clock matters while that is valid.
//
// Whoever can read the folder can pretend to be any process of the cluster. It is meant for installations that
// give all processes the same files and nothing else, and run them as users who do not own these files.
func OpenIssuing(folder Folder, process vwid.Process) (*Memory, error) {
	authority, err := folder.LoadAuthority(AllUsers)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	certificate, err := authority.issue(process, authority.certificate.NotBefore, authority.certificate.NotAfter)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Memory{certificate: certificate, authorities: []*x509.Certificate{authority.certificate}}, nil
}
