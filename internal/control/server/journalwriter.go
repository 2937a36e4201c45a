package server

import (
	"time"

	"frosttide/internal/control/journal"
	"frosttide/internal/control/replica"
	"frosttide/internal/mailbox"
)

// writerStopTimeout bounds how long stop waits for a write in progress: a disk that hangs must not keep the process
// from ending.
const writerStopTimeout = 100 * time.Millisecond

// journalWriter writes the replica's records on a goroutine of its own: everything that is queued at once, with one
// sync.
type journalWriter struct {
	file    *journal.File
	queue   *mailbox.Box[replica.Write]
	onDone  func(sequence uint64, size int64, err error)
	stopped chan struct{} // closed by stop
	ended   chan struct{} // closed when the goroutine has ended
}

// startJournalWriter returns a running writer to a file. Its goroutine calls onDone after each sync with the sequence
// number of the last write in it, the length of the file in bytes, and what has failed.
func startJournalWriter(file *journal.File, onDone func(sequence uint64, size int64, err error)) *journalWriter {
	w := &journalWriter{
		file:    file,
		queue:   mailbox.New[replica.Write](),
		onDone:  onDone,
		stopped: make(chan struct{}),
		ended:   make(chan struct{}),
	}
	go w.run()
	return w
}

// enqueue adds a write. It never blocks.
func (w *journalWriter) enqueue(write replica.Write) { w.queue.Put(write) }

// stop ends the goroutine after the write in progress, if there is one. Writes that are still queued are dropped, as
// in a crash: what needs them on disk has not been acknowledged.
func (w *journalWriter) stop() {
	close(w.stopped)
	select {
	case <-w.ended:
	case <-time.After(writerStopTimeout):
	}
}

func (w *journalWriter) run() {
	defer close(w.ended)
	var failure error // of an earlier write, until a rewrite succeeds
	var writes []replica.Write
	for {
		select {
		case <-w.stopped:
			return
		case <-w.queue.Ready():
		}
		writes = w.queue.Drain(writes[:0])
		for rest := writes; len(rest) > 0; {
			count := batchLength(rest)
			failure = w.writeBatch(rest[:count], failure)
			rest = rest[count:]
		}
		clear(writes) // lets go of the records
	}
}

// writeBatch writes a batch with one sync and returns why the journal can't be relied on, nil where it can. After a
// failure only a rewrite of the whole journal is tried.
func (w *journalWriter) writeBatch(batch []replica.Write, failure error) error {
	switch {
	case batch[0].Image != nil:
		failure = w.file.Rewrite(batch[0].Image)
	case failure == nil:
		failure = w.file.Write(joinData(batch))
	}
	w.onDone(batch[len(batch)-1].Sequence, w.file.Size(), failure)
	return failure
}

// batchLength returns how many writes, from the first, can share a sync. A rewrite stands alone.
func batchLength(writes []replica.Write) int {
	if writes[0].Image != nil {
		return 1
	}
	for i, write := range writes {
		if write.Image != nil {
			return i
		}
	}
	return len(writes)
}

// joinData returns the records of a batch one after the other.
func joinData(batch []replica.Write) []byte {
	if len(batch) == 1 {
		return batch[0].Data
	}
	var out []byte
	for _, write := range batch {
		out = append(out, write.Data...)
	}
	return out
}
