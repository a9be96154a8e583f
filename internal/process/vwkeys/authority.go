// Package vwkeys issues the certificates of a cluster's processes and makes the TLS configuration
// with which two processes authenticate each other.
package vwkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// AuthorityLifetime is the validity of an authority's certificate.
	AuthorityLifetime = 10 * 365 * 24 * time.Hour
	// CertificateLifetime is the validity of a process certificate.
	CertificateLifetime = 90 * 24 * time.Hour
	// RenewBefore is the remaining validity below which a process certificate is due for renewal.
	RenewBefore = CertificateLifetime / 3
	// backdate lets a process whose clock is behind the issuer's accept a new certificate at once.
	backdate = time.Hour
	// serialBits is the size of the random serial numbers; RFC 5280 allows up to 20 octets.
	serialBits = 127
)

// Authority is the certificate authority of one cluster.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// MakeAuthority returns a new authority with its own key.
func MakeAuthority(cluster vwid.Cluster) (*Authority, error) {
	return MakeAuthorityFrom(cluster, DefaultFirstDay())
}

// DefaultFirstDay returns from when on an authority that is made now is valid: somewhat earlier, for processes whose
// clocks are behind.
func DefaultFirstDay() time.Time {
	return time.Now().Add(-backdate)
}

// MakeAuthorityFrom returns a new authority that is valid from a given time, for processes whose clocks may be
// far behind the issuer's.
func MakeAuthorityFrom(cluster vwid.Cluster, from time.Time) (*Authority, error) {
	if cluster == "" {
		return nil, trace.BadParameter("an authority needs the name of its cluster")
	}
	template, err := makeTemplate(from, time.Now().Add(AuthorityLifetime), pkix.Name{
		CommonName:   "authority of " + string(cluster),
		Organization: []string{string(cluster)},
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template.IsCA = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	certificate, err := sign(template, template, &key.PublicKey, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Cluster returns the cluster whose processes the authority certifies.
func (a *Authority) Cluster() vwid.Cluster {
	return clusterOf(a.certificate)
}

// Certificate returns the authority's own certificate.
func (a *Authority) Certificate() *x509.Certificate {
	return a.certificate
}

// Issue returns a new key and certificate for process. The common name is the process and the
// organisation is the cluster.
func (a *Authority) Issue(process vwid.Process) (*tls.Certificate, error) {
	now := time.Now()
	return a.issue(process, now.Add(-backdate), now.Add(CertificateLifetime))
}

func (a *Authority) issue(process vwid.Process, from, until time.Time) (*tls.Certificate, error) {
	if process == "" {
		return nil, trace.BadParameter("a certificate needs the name of its process")
	}
	template, err := makeTemplate(from, until, pkix.Name{
		CommonName:   string(process),
		Organization: []string{string(a.Cluster())},
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	leaf, err := sign(template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &tls.Certificate{Certificate: [][]byte{leaf.Raw}, PrivateKey: key, Leaf: leaf}, nil
}

func makeTemplate(from, until time.Time, subject pkix.Name) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               subject,
		NotBefore:             from,
		NotAfter:              until,
		BasicConstraintsValid: true,
	}, nil
}

func sign(template, parent *x509.Certificate, public *ecdsa.PublicKey, key *ecdsa.PrivateKey) (*x509.Certificate, error) {
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, public, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	certificate, err := x509.ParseCertificate(raw)
	return certificate, trace.Wrap(err)
}

func clusterOf(certificate *x509.Certificate) vwid.Cluster {
	if len(certificate.Subject.Organization) != 1 {
		return ""
	}
	return vwid.Cluster(certificate.Subject.Organization[0])
}
