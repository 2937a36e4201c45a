package journal

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/store"
)

// largeState returns a state of approximately the given number of bytes, in items of 1,000 bytes.
func largeState(bytes int) State {
	const itemBytes = 1000
	s := State{ID: 1, Store: store.New()}
	for i := range bytes / itemBytes {
		value := make([]byte, itemBytes)
		copy(value, fmt.Sprint(i))
		s.Store.Put(fmt.Sprintf("item%d", i), value)
	}
	return s
}

// BenchmarkRestart reads files of 1, 10 and 50 MB, as a member does when it restarts.
func BenchmarkRestart(b *testing.B) {
	for _, megabytes := range []int{1, 10, 50} {
		content, err := Snapshot(largeState(megabytes << 20))
		require.NoError(b, err)
		b.Run(fmt.Sprintf("%dMB", megabytes), func(b *testing.B) {
			b.SetBytes(int64(len(content)))
			for range b.N {
				_, _, err := Read(content)
				require.NoError(b, err)
			}
		})
	}
}

// BenchmarkImage measures taking an image, which blocks the member, and taking and writing one, which it does not wait for.
func BenchmarkImage(b *testing.B) {
	for _, megabytes := range []int{1, 10, 50} {
		s := largeState(megabytes << 20)
		b.Run(fmt.Sprintf("take/%dMB", megabytes), func(b *testing.B) {
			for range b.N {
				NewImage(s)
			}
		})
		b.Run(fmt.Sprintf("write/%dMB", megabytes), func(b *testing.B) {
			for range b.N {
				_, err := NewImage(s).WriteTo(io.Discard)
				require.NoError(b, err)
			}
		})
	}
}
