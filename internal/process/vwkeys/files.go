package vwkeys

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Files is a Source that reads its PEM files again when they change. A changed file that cannot
// be used is logged and the last good content stays in use.
type Files struct {
	own         watched
	authorities watched
}

// OpenFiles reads the certificate of process and the authorities from folder.
func OpenFiles(folder Folder, process vwid.Process, log *slog.Logger) (*Files, error) {
	return OpenPaths(folder.ProcessFile(process), folder.AuthorityFile(), log)
}

// OpenPaths reads the certificate with its key from one file and the authorities from another.
func OpenPaths(certificate, authorities string, log *slog.Logger) (*Files, error) {
	return OpenSeparate(certificate, certificate, authorities, log)
}

// OpenSeparate reads the certificate, its key and the authorities. The key may be in the file of the
// certificate; in another one, both must be replaced before the next handshake.
func OpenSeparate(certificate, key, authorities string, log *slog.Logger) (*Files, error) {
	files := &Files{
		own:         watched{path: certificate, keyPath: key, log: log, check: checkKeyPair},
		authorities: watched{path: authorities, log: log, check: checkAuthorities},
	}
	for _, file := range []*watched{&files.own, &files.authorities} {
		if _, err := file.read(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return files, nil
}

// Certificate implements Source.
func (f *Files) Certificate() (*tls.Certificate, error) {
	content, err := f.own.read()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return content.keyPair()
}

// Authorities implements Source.
func (f *Files) Authorities() ([]*x509.Certificate, error) {
	content, err := f.authorities.read()
	return content.certificates, trace.Wrap(err)
}

// watched is one file, read again when its size or modification time changes.
type watched struct {
	path string
	// keyPath is where the key is; it is empty without a key, and may be path.
	keyPath string
	log     *slog.Logger
	check   func(bundle) error

	mu      sync.Mutex
	stamp   [2]stamp
	content *bundle
}

// stamp tells whether a file has changed.
type stamp struct {
	size    int64
	changed time.Time
}

func (w *watched) stamps() ([2]stamp, error) {
	var stamps [2]stamp
	for i, path := range []string{w.path, w.keyPath} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return stamps, trace.ConvertSystemError(err)
		}
		stamps[i] = stamp{size: info.Size(), changed: info.ModTime()}
	}
	return stamps, nil
}

func (w *watched) read() (bundle, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	stamps, err := w.stamps()
	if err != nil {
		return w.keep(err)
	}
	if w.content != nil && stamps == w.stamp {
		return *w.content, nil
	}
	w.stamp = stamps
	content, err := w.load()
	if err == nil {
		err = w.check(content)
	}
	if err != nil {
		return w.keep(err)
	}
	w.content = &content
	return content, nil
}

func (w *watched) load() (bundle, error) {
	content, err := readBundle(w.path, OwnerOnly)
	if err != nil || w.keyPath == "" || w.keyPath == w.path {
		return content, err
	}
	content.key, err = readKey(w.keyPath)
	return content, err
}

// keep returns the last good content, or err when there is none.
func (w *watched) keep(err error) (bundle, error) {
	if w.content == nil {
		return bundle{}, trace.Wrap(err)
	}
	w.log.Warn("the changed key file cannot be used; the earlier content stays in use", "path", w.path, "error", err)
	return *w.content, nil
}

func checkKeyPair(content bundle) error {
	_, err := content.keyPair()
	return trace.Wrap(err)
}

func checkAuthorities(content bundle) error {
	for _, certificate := range content.certificates {
		if !certificate.IsCA {
			return trace.BadParameter("the certificate of %q is not an authority's", certificate.Subject.CommonName)
		}
	}
	return nil
}

func bundleOf(certificate *tls.Certificate) (bundle, error) {
	key, ok := certificate.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return bundle{}, trace.BadParameter("private key is a %T; want an ECDSA key", certificate.PrivateKey)
	}
	return bundle{certificates: []*x509.Certificate{certificate.Leaf}, key: key}, nil
}
