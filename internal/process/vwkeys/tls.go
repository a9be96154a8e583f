package vwkeys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Protocol is the ALPN protocol of links between processes.
const Protocol = "vanillawind/1"

// TLSConfig returns the configuration for both ends of a link. Each end presents its certificate
// and accepts a peer only with a certificate that an authority of source issued for cluster. Host
// names are not checked, because processes are addressed by IP address.
func TLSConfig(source Source, cluster vwid.Cluster) (*tls.Config, error) {
	if err := checkOwn(source, cluster); err != nil {
		return nil, trace.Wrap(err)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		ClientAuth: tls.RequireAnyClientCert,
		// The standard verification checks the host name. VerifyConnection does the chain instead.
		InsecureSkipVerify: true,
		// A resumed session would outlive the certificate that it was authenticated with.
		SessionTicketsDisabled: true,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return source.Certificate() },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return source.Certificate() },
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(source, cluster, state)
		},
	}, nil
}

// PeerProcess returns the process that the peer of an established connection has proven to be.
func PeerProcess(state tls.ConnectionState) (vwid.Process, error) {
	if len(state.PeerCertificates) == 0 {
		return "", trace.AccessDenied("the peer presented no certificate")
	}
	return processOf(state.PeerCertificates[0]), nil
}

// checkOwn finds a certificate that every peer would reject before the process starts to serve.
func checkOwn(source Source, cluster vwid.Cluster) error {
	certificate, err := source.Certificate()
	if err != nil {
		return trace.Wrap(err)
	}
	authorities, err := source.Authorities()
	if err != nil {
		return trace.Wrap(err)
	}
	return verify(certificate.Leaf, authorities, cluster)
}

func verifyPeer(source Source, cluster vwid.Cluster, state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("the peer presented no certificate")
	}
	authorities, err := source.Authorities()
	if err != nil {
		return trace.Wrap(err)
	}
	return verify(state.PeerCertificates[0], authorities, cluster)
}

// verify checks the validity first, because an expired certificate of the right authority is the
// most frequent fault and the message names the remedy.
func verify(leaf *x509.Certificate, authorities []*x509.Certificate, cluster vwid.Cluster) error {
	now := time.Now()
	roots := x509.NewCertPool()
	for _, authority := range authorities {
		roots.AddCert(authority)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:       roots,
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return trace.Wrap(classify(err, leaf, authorities, now))
	}
	if clusterOf(leaf) != cluster {
		return trace.Wrap(&ErrWrongCluster{Process: processOf(leaf), Cluster: clusterOf(leaf), Want: cluster})
	}
	return nil
}

func classify(err error, leaf *x509.Certificate, authorities []*x509.Certificate, now time.Time) error {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return &ErrExpired{Process: processOf(leaf), NotBefore: leaf.NotBefore, NotAfter: leaf.NotAfter}
	}
	for _, authority := range authorities {
		issued := bytes.Equal(authority.RawSubject, leaf.RawIssuer) && leaf.CheckSignatureFrom(authority) == nil
		if issued && (now.Before(authority.NotBefore) || now.After(authority.NotAfter)) {
			return &ErrExpired{
				Process: processOf(leaf), NotBefore: authority.NotBefore, NotAfter: authority.NotAfter, Authority: true,
			}
		}
	}
	return &ErrWrongAuthority{Process: processOf(leaf), Cluster: clusterOf(leaf), Cause: err}
}

func processOf(certificate *x509.Certificate) vwid.Process {
	return vwid.Process(certificate.Subject.CommonName)
}
