package vwkeys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

const testCluster = "limonada"

func makeAuthority(t *testing.T) *Authority {
	t.Helper()
	authority, err := MakeAuthority(testCluster)
	require.NoError(t, err)
	return authority
}

func makeMemory(t *testing.T, authority *Authority, lifetime time.Duration, trusted ...*x509.Certificate) *Memory {
	t.Helper()
	now := time.Now()
	certificate, err := authority.issue("agent-1", now.Add(-backdate), now.Add(lifetime))
	require.NoError(t, err)
	return &Memory{certificate: certificate, authorities: append(trusted, authority.Certificate())}
}

// handshake returns the error of each end and the server's view of the client.
func handshake(t *testing.T, clientConfig, serverConfig *tls.Config) (state tls.ConnectionState, clientErr, serverErr error) {
	t.Helper()
	near, far := net.Pipe()
	client, server := tls.Client(near, clientConfig), tls.Server(far, serverConfig)
	group := vwgroup.Make(context.Background())
	group.Run(func(context.Context) {
		serverErr = server.Handshake()
		if serverErr == nil {
			_, serverErr = server.Write([]byte{1})
		}
		_ = far.Close()
	})
	clientErr = client.Handshake()
	if clientErr == nil {
		_, clientErr = client.Read(make([]byte, 1))
	}
	_ = near.Close()
	require.NoError(t, group.Wait())
	return server.ConnectionState(), clientErr, serverErr
}

// A link must not come up with a peer that the cluster's authority has not certified.
func TestHandshakeAcceptsOnlyTheClustersCertificates(t *testing.T) {
	cases := map[string]struct {
		peer  func(t *testing.T, authority *Authority) (*Memory, []*x509.Certificate)
		sleep time.Duration
		is    func(error) bool
	}{
		"valid": {
			peer: func(t *testing.T, authority *Authority) (*Memory, []*x509.Certificate) {
				return makeMemory(t, authority, CertificateLifetime), nil
			},
		},
		"expired": {
			peer: func(t *testing.T, authority *Authority) (*Memory, []*x509.Certificate) {
				return makeMemory(t, authority, time.Minute), nil
			},
			sleep: time.Hour, is: IsExpired,
		},
		"expired authority": {
			peer: func(t *testing.T, authority *Authority) (*Memory, []*x509.Certificate) {
				return makeMemory(t, authority, 2*AuthorityLifetime), nil
			},
			sleep: AuthorityLifetime + time.Hour, is: IsExpired,
		},
		"wrong authority": {
			peer: func(t *testing.T, authority *Authority) (*Memory, []*x509.Certificate) {
				return makeMemory(t, makeAuthority(t), CertificateLifetime, authority.Certificate()), nil
			},
			is: IsWrongAuthority,
		},
		"wrong cluster": {
			peer: func(t *testing.T, authority *Authority) (*Memory, []*x509.Certificate) {
				foreign, err := MakeAuthority("viitepaja")
				require.NoError(t, err)
				return makeMemory(t, foreign, CertificateLifetime, authority.Certificate()),
					[]*x509.Certificate{foreign.Certificate()}
			},
			is: IsWrongCluster,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				authority := makeAuthority(t)
				peer, trusted := test.peer(t, authority)
				peerConfig, err := TLSConfig(peer, clusterOf(peer.certificate.Leaf))
				require.NoError(t, err)
				// Only the end under test decides.
				peerConfig.VerifyConnection = nil
				config, err := TLSConfig(makeMemory(t, authority, 2*AuthorityLifetime, trusted...), testCluster)
				require.NoError(t, err)
				time.Sleep(test.sleep)
				state, clientErr, serverErr := handshake(t, peerConfig, config)
				if test.is == nil {
					require.NoError(t, clientErr)
					require.NoError(t, serverErr)
					require.Equal(t, Protocol, state.NegotiatedProtocol)
					process, err := PeerProcess(state)
					require.NoError(t, err)
					require.EqualValues(t, "agent-1", process)
					return
				}
				require.Error(t, clientErr)
				require.True(t, test.is(serverErr), "%v", serverErr)
				// The client end must reject the same certificate of a server.
				_, clientErr, _ = handshake(t, config, peerConfig)
				require.True(t, test.is(clientErr), "%v", clientErr)
			})
		})
	}
}

// A peer without a certificate must not be accepted.
func TestHandshakeNeedsAClientCertificate(t *testing.T) {
	config, err := TLSConfig(makeMemory(t, makeAuthority(t), CertificateLifetime), testCluster)
	require.NoError(t, err)
	anonymous := config.Clone()
	anonymous.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return new(tls.Certificate), nil
	}
	_, clientErr, serverErr := handshake(t, anonymous, config)
	require.Error(t, clientErr)
	require.Error(t, serverErr)
}

// A process whose own certificate no peer accepts must say so at its start.
func TestTLSConfigChecksTheOwnCertificate(t *testing.T) {
	_, err := TLSConfig(makeMemory(t, makeAuthority(t), CertificateLifetime), "viitepaja")
	require.True(t, IsWrongCluster(err), "%v", err)
	_, err = TLSConfig(makeMemory(t, makeAuthority(t), -time.Minute), testCluster)
	require.True(t, IsExpired(err), "%v", err)
}
