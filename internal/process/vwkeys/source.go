package vwkeys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Source yields the current certificate of a process and the authorities it trusts. It is asked at
// each handshake, so a renewed certificate takes effect without a restart.
type Source interface {
	Certificate() (*tls.Certificate, error)
	Authorities() ([]*x509.Certificate, error)
}

// Memory is a Source without files, for the demo and for tests.
type Memory struct {
	certificate *tls.Certificate
	authorities []*x509.Certificate
}

// MakeMemory issues a certificate for process and trusts only authority.
func MakeMemory(authority *Authority, process vwid.Process) (*Memory, error) {
	certificate, err := authority.Issue(process)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Memory{certificate: certificate, authorities: []*x509.Certificate{authority.Certificate()}}, nil
}

// Certificate implements Source.
func (m *Memory) Certificate() (*tls.Certificate, error) {
	return m.certificate, nil
}

// Authorities implements Source.
func (m *Memory) Authorities() ([]*x509.Certificate, error) {
	return m.authorities, nil
}

// Cluster returns the cluster that the certificate is for.
func (m *Memory) Cluster() vwid.Cluster {
	return clusterOf(m.certificate.Leaf)
}
