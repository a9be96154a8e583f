package vwkeys

import (
	"bytes"
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
