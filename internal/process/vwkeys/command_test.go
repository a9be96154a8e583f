package vwkeys

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// An operator must see a certificate that is due, and renewal must leave the others alone.
func TestCommandRenewsWhatIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		command := Command{Folder: Folder(t.TempDir()), Out: &out}
		require.NoError(t, command.MakeAuthority(testCluster))
		require.NoError(t, command.Issue("entry-1"))
		time.Sleep(CertificateLifetime - RenewBefore)
		require.NoError(t, command.Issue("agent-1"))
		require.Error(t, command.Issue("entry-1"))

		out.Reset()
		require.NoError(t, command.Show())
		require.Regexp(t, `entry-1 +limonada .* due for renewal`, out.String())
		require.Regexp(t, `agent-1 +limonada .* valid`, out.String())

		out.Reset()
		require.NoError(t, command.Renew(false))
		require.Contains(t, out.String(), "process entry-1")
		require.NotContains(t, out.String(), "agent-1")
	})
}

// A build over the remains of another one must leave an authority that processes can use, and must not replace one
// that they trust.
func TestKeepAuthority(t *testing.T) {
	from := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := map[string]struct {
		access   Access
		change   func(t *testing.T, folder Folder)
		replaced bool
		usable   bool
	}{
		"unchanged":                 {access: AllUsers, change: func(*testing.T, Folder) {}, usable: true},
		"unchanged, owner only":     {access: OwnerOnly, change: func(*testing.T, Folder) {}, usable: true},
		"modes of an earlier build": {access: AllUsers, usable: true, change: func(t *testing.T, f Folder) { require.NoError(t, os.Chmod(string(f), 0o700)) }},
		"no certificate":            {access: AllUsers, usable: true, change: func(t *testing.T, f Folder) { require.NoError(t, os.Remove(f.AuthorityFile())) }},
		"no key":                    {access: AllUsers, usable: true, replaced: true, change: func(t *testing.T, f Folder) { require.NoError(t, os.Remove(f.path(AuthorityKeyFile))) }},
		"damaged key":               {access: AllUsers, usable: true, replaced: true, change: func(t *testing.T, f Folder) { require.NoError(t, os.Truncate(f.path(AuthorityKeyFile), 90)) }},
		// An authority's key may be kept elsewhere where only operators need it.
		"key kept elsewhere": {access: OwnerOnly, change: func(t *testing.T, f Folder) { require.NoError(t, os.Remove(f.path(AuthorityKeyFile))) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			folder := Folder(filepath.Join(t.TempDir(), "keys"))
			command := Command{Folder: folder, Access: c.access, Out: io.Discard}
			require.NoError(t, command.KeepAuthority("limonada", from))
			first, err := folder.LoadAuthority(c.access)
			require.NoError(t, err)
			c.change(t, folder)
			require.NoError(t, command.KeepAuthority("limonada", from))
			second, err := folder.LoadAuthority(c.access)
			if !c.usable {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.replaced, !first.certificate.Equal(second.certificate))
			require.FileExists(t, folder.AuthorityFile())
			info, err := os.Stat(string(folder))
			require.NoError(t, err)
			require.Equal(t, c.access.folderMode(), info.Mode().Perm())
		})
	}
}
