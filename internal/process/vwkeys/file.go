package vwkeys

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

const (
	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"

	modePublic os.FileMode = 0o644
	modeSecret os.FileMode = 0o600
	// modeOthers are the permissions that a file with a key of one user must not have.
	modeOthers os.FileMode = 0o077
)

// Access says which users of a machine may read private keys.
type Access uint8

const (
	// OwnerOnly keeps private keys from all users but their owner.
	OwnerOnly Access = iota
	// AllUsers lets all users read private keys, for processes whose users are not known when the keys are made.
	// What protects the keys then is who may read the folder.
	AllUsers
)

// keyMode returns the mode of files with a private key.
func (a Access) keyMode() os.FileMode {
	if a == AllUsers {
		return modePublic
	}
	return modeSecret
}

// folderMode returns the mode of the folder.
func (a Access) folderMode() os.FileMode {
	if a == AllUsers {
		return 0o755
	}
	return 0o700
}

// allows reports whether a file with a private key may have a mode. Whoever can write a key for all users can
// replace the program that reads it as well, so its mode protects nothing.
func (a Access) allows(mode os.FileMode) bool {
	return a == AllUsers || mode.Perm()&modeOthers == 0
}

// bundle is the content of one PEM file.
type bundle struct {
	certificates []*x509.Certificate
	key          *ecdsa.PrivateKey
}

// writeBundle replaces the file at path atomically. A process certificate and its key share one
// file, so that a reader never sees a new certificate with an old key.
func writeBundle(path string, content bundle, access Access) error {
	text, err := encodeBundle(content)
	if err != nil {
		return trace.Wrap(err)
	}
	mode := modePublic
	if content.key != nil {
		mode = access.keyMode()
	}
	if err := os.MkdirAll(filepath.Dir(path), access.folderMode()); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.Wrap(replaceFile(path, text, mode))
}

func replaceFile(path string, text []byte, mode os.FileMode) error {
	// CreateTemp makes the file with mode 0600, so that the key is never readable by others.
	file, err := os.CreateTemp(filepath.Dir(path), ".keys-*")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = os.Remove(file.Name()) }()
	_, err = file.Write(text)
	err = trace.NewAggregate(err, file.Chmod(mode), file.Sync(), file.Close())
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.Rename(file.Name(), path))
}

func encodeBundle(content bundle) ([]byte, error) {
	var text []byte
	for _, certificate := range content.certificates {
		text = append(text, pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: certificate.Raw})...)
	}
	if content.key == nil {
		return text, nil
	}
	raw, err := x509.MarshalPKCS8PrivateKey(content.key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return append(text, pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: raw})...), nil
}

// readBundle reads the certificates of a file, and the key if there is one.
func readBundle(path string, access Access) (bundle, error) {
	content, err := readBlocks(path, access)
	if err == nil && len(content.certificates) == 0 {
		err = trace.BadParameter("%s holds no certificate", path)
	}
	return content, err
}

// readKey reads the key of a file.
func readKey(path string) (*ecdsa.PrivateKey, error) {
	content, err := readBlocks(path, OwnerOnly)
	if err == nil && content.key == nil {
		err = trace.BadParameter("%s holds no private key", path)
	}
	return content.key, err
}

// readBlocks refuses a file with a key that is open to others than access allows.
func readBlocks(path string, access Access) (bundle, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return bundle{}, explainAccess(path, err)
	}
	content, err := decodeBundle(text)
	if err != nil {
		return bundle{}, trace.Wrap(err, "reading %s", path)
	}
	if content.key == nil {
		return content, nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return bundle{}, trace.ConvertSystemError(err)
	}
	if !access.allows(info.Mode()) {
		return bundle{}, trace.AccessDenied("%s holds a private key and has mode %04o; want %04o", path, info.Mode().Perm(), access.keyMode())
	}
	return content, nil
}

func decodeBundle(text []byte) (bundle, error) {
	var content bundle
	for block, rest := pem.Decode(text); block != nil; block, rest = pem.Decode(rest) {
		if err := content.add(block); err != nil {
			return bundle{}, trace.Wrap(err)
		}
	}
	return content, nil
}

func (b *bundle) add(block *pem.Block) error {
	switch block.Type {
	case blockCertificate:
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return trace.BadParameter("unreadable certificate: %v", err)
		}
		b.certificates = append(b.certificates, certificate)
		return nil
	case blockKey:
		return trace.Wrap(b.setKey(block.Bytes))
	default:
		return trace.BadParameter("unexpected PEM block %q", block.Type)
	}
}

func (b *bundle) setKey(raw []byte) error {
	parsed, err := x509.ParsePKCS8PrivateKey(raw)
	if err != nil {
		return trace.BadParameter("unreadable private key: %v", err)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return trace.BadParameter("private key is a %T; want an ECDSA key", parsed)
	}
	b.key = key
	return nil
}

// keyPair returns the first certificate with its key.
func (b *bundle) keyPair() (*tls.Certificate, error) {
	leaf := b.certificates[0]
	public, ok := leaf.PublicKey.(*ecdsa.PublicKey)
	if b.key == nil || !ok || !b.key.PublicKey.Equal(public) {
		return nil, trace.BadParameter("the private key of the certificate of %q is missing or does not match", processOf(leaf))
	}
	return &tls.Certificate{Certificate: [][]byte{leaf.Raw}, PrivateKey: b.key, Leaf: leaf}, nil
}
