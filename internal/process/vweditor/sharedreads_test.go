package vweditor

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// slowMemory is a control whose reads take a second and see the version at their end.
type slowMemory struct {
	memory
	mu    sync.Mutex
	reads int
}

func (m *slowMemory) Read(ctx context.Context, query vwstate.Query) (vwstate.View, error) {
	m.mu.Lock()
	m.reads++
	m.mu.Unlock()
	if err := vwgroup.Sleep(ctx, time.Second); err != nil {
		return vwstate.View{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.memory.Read(ctx, query)
}

// Guards against callers who each hold a copy of large rules, against one who gets rules that were read before it asked, and against
// a read that ends for all when the first of its callers leaves.
func TestReadsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := &slowMemory{memory: memory{config: vwstate.Config{Version: 1, Text: []byte("rules")}}}
		shared := ShareReads(control)
		group := vwgroup.Make(context.Background())
		leaving, leave := context.WithCancel(t.Context())
		texts := make(chan []byte, 100)
		read := func(ctx context.Context, expected vwid.ConfigVersion) {
			group.Run(func(context.Context) {
				config, err := Read(ctx, shared)
				if ctx == t.Context() {
					require.NoError(t, err)
					require.GreaterOrEqual(t, config.Version, expected)
					texts <- config.Text
				}
			})
		}
		read(leaving, 1)
		for range 10 {
			read(t.Context(), 1)
		}
		synctest.Wait()
		leave()
		time.Sleep(1500 * time.Millisecond)
		control.mu.Lock()
		control.config.Version = 2
		control.mu.Unlock()
		for range 10 {
			read(t.Context(), 2)
		}
		require.NoError(t, group.Wait())
		require.LessOrEqual(t, control.reads, 4, "each time one for the first caller and one for all others")
		first := <-texts
		for range 9 {
			require.Same(t, &first[0], &(<-texts)[0], "callers hold the same bytes")
		}
		abandoned, abandon := context.WithTimeout(t.Context(), time.Millisecond)
		defer abandon()
		_, err := Read(abandoned, shared)
		require.Error(t, err)
		begun := time.Now()
		_, err = Read(t.Context(), shared)
		require.NoError(t, err)
		require.Equal(t, time.Second, time.Since(begun), "a read whose callers have left keeps no others waiting")
	})
}
