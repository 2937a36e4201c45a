package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/journal"
	"frosttide/internal/control/replica"
)

func TestBatchLength(t *testing.T) {
	record := replica.Write{Data: []byte("x")}
	rewrite := replica.Write{Image: &journal.Image{}}
	tests := []struct {
		name   string
		writes []replica.Write
		want   int
	}{
		{"one record", []replica.Write{record}, 1},
		{"records", []replica.Write{record, record, record}, 3},
		{"records before a rewrite", []replica.Write{record, record, rewrite, record}, 2},
		{"rewrite", []replica.Write{rewrite, record}, 1},
		{"rewrites", []replica.Write{rewrite, rewrite}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, batchLength(test.writes))
		})
	}
}

// TestJournalWriterAfterFailure checks that after a failed write nothing is written until a rewrite
// of the journal succeeds.
func TestJournalWriterAfterFailure(t *testing.T) {
	file, state, err := journal.Open(t.TempDir())
	require.NoError(t, err)
	type result struct {
		sequence uint64
		size     int64
		err      error
	}
	results := make(chan result, 1)
	w := startJournalWriter(file, func(sequence uint64, size int64, err error) { results <- result{sequence, size, err} })
	defer w.stop()
	write := func(next replica.Write) result {
		t.Helper()
		w.enqueue(next)
		got := <-results
		require.Equal(t, next.Sequence, got.sequence)
		return got
	}
	image := func() *journal.Image { return journal.NewImage(state) }

	require.NoError(t, write(replica.Write{Sequence: 1, Image: image()}).err)
	require.NoError(t, file.Close()) // makes the next write fail
	require.Error(t, write(replica.Write{Sequence: 2, Data: []byte("record")}).err)
	size := file.Size()
	got := write(replica.Write{Sequence: 3, Data: []byte("record")})
	require.Error(t, got.err)
	require.Equal(t, size, got.size, "size of the file after a write that follows a failed one")
	require.NoError(t, write(replica.Write{Sequence: 4, Image: image()}).err)
	got = write(replica.Write{Sequence: 5, Data: []byte("record")})
	require.NoError(t, got.err)
	require.EqualValues(t, size+int64(len("record")), got.size)
}
