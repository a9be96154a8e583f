package vwkeys

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwid"
)

func openFolder(t *testing.T) (Folder, *Authority, *Files) {
	t.Helper()
	folder, authority := Folder(t.TempDir()), makeAuthority(t)
	require.NoError(t, folder.SaveAuthority(authority, OwnerOnly))
	certificate, err := authority.Issue("agent-1")
	require.NoError(t, err)
	require.NoError(t, folder.SaveProcess(certificate))
	files, err := OpenFiles(folder, "agent-1", slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return folder, authority, files
}

// A renewed certificate must be used without a restart, and a damaged file must not stop handshakes.
func TestFilesFollowTheFolder(t *testing.T) {
	folder, authority, files := openFolder(t)
	path := folder.ProcessFile("agent-1")
	first, err := files.Certificate()
	require.NoError(t, err)

	renewed, err := authority.Issue("agent-1")
	require.NoError(t, err)
	require.NoError(t, folder.SaveProcess(renewed))
	// File systems may record times too coarsely to tell two writes of one test apart.
	require.NoError(t, os.Chtimes(path, time.Time{}, time.Now().Add(time.Hour)))
	second, err := files.Certificate()
	require.NoError(t, err)
	require.NotEqual(t, first.Leaf.SerialNumber, second.Leaf.SerialNumber)

	require.NoError(t, os.WriteFile(path, []byte("damaged"), modeSecret))
	third, err := files.Certificate()
	require.NoError(t, err)
	require.Equal(t, second.Leaf.SerialNumber, third.Leaf.SerialNumber)
}

// A private key must not be readable by others.
func TestKeyFilesAreSecret(t *testing.T) {
	folder, _, _ := openFolder(t)
	for _, path := range []string{folder.ProcessFile("agent-1"), folder.path(AuthorityKeyFile)} {
		info, err := os.Stat(path)
		require.NoError(t, err)
		require.Equal(t, modeSecret, info.Mode().Perm())
	}
	require.NoError(t, os.Chmod(folder.ProcessFile("agent-1"), 0o640))
	_, err := OpenFiles(folder, "agent-1", slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, "0640")
}

// A second authority in one folder would invalidate every certificate of the first.
func TestAuthorityIsNotReplaced(t *testing.T) {
	folder, authority, _ := openFolder(t)
	require.Error(t, folder.SaveAuthority(makeAuthority(t), OwnerOnly))
	loaded, err := folder.LoadAuthority(OwnerOnly)
	require.NoError(t, err)
	require.Equal(t, authority.Certificate().Raw, loaded.Certificate().Raw)
}

// A process name must not lead outside the folder or to the authority's files.
func TestProcessNamesAreFileNames(t *testing.T) {
	for _, name := range []string{"", "..", "../x", "a/b", ".x", "authority", "authority-key"} {
		require.Error(t, checkFileName(vwid.Process(name)), name)
	}
	require.NoError(t, checkFileName("agent-1.north"))
}

// Processes that run as other users than the one who made the keys must be able to read them, whatever the umask.
func TestAuthorityForAllUsers(t *testing.T) {
	folder := Folder(filepath.Join(t.TempDir(), "keys"))
	require.NoError(t, folder.SaveAuthority(makeAuthority(t), AllUsers))
	for path, mode := range map[string]os.FileMode{string(folder): 0o755, folder.path(AuthorityKeyFile): 0o644, folder.AuthorityFile(): 0o644} {
		info, err := os.Stat(path)
		require.NoError(t, err)
		require.Equal(t, mode, info.Mode().Perm(), path)
	}
	_, err := OpenIssuing(folder, "agent-1")
	require.NoError(t, err)
	_, err = folder.LoadAuthority(OwnerOnly)
	require.True(t, trace.IsAccessDenied(err), "a key that only its owner should read must not be open")
}
