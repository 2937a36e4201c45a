package server

import (
	"time"

	"frosttide/internal/control/journal"
	"frosttide/internal/control/replica"
	"frosttide/internal/mailbox"
)

// writerStopTimeout bounds the time that stop waits for a write in progress: a hanging disk must
// not keep the process from exiting.
const writerStopTimeout = 100 * time.Millisecond

// journalWriter writes the replica's records to the journal on its own goroutine. It writes all
// queued records together and syncs once (group commit).
type journalWriter struct {
	file    *journal.File
	queue   *mailbox.Box[replica.Write]
	onDone  func(sequence uint64, size int64, err error)
	stopped chan struct{} // closed by stop
	ended   chan struct{} // closed when run returns
}

// startJournalWriter starts a writer to a file. The writer's goroutine calls onDone after each
// batch with the sequence number of the last write in the batch, the size of the file in bytes, and
// the error of writing or syncing, or of an earlier failure that no rewrite has repaired yet.
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

// enqueue queues a write. It never blocks.
func (w *journalWriter) enqueue(write replica.Write) { w.queue.Put(write) }

// stop ends the goroutine after the write in progress, if any, or after writerStopTimeout gives up
// waiting for it. Queued writes are dropped as in a crash: nothing that depends on them has been
// acknowledged.
func (w *journalWriter) stop() {
	close(w.stopped)
	select {
	case <-w.ended:
	case <-time.After(writerStopTimeout):
	}
}

// run writes queued records in batches until stop is called.
func (w *journalWriter) run() {
	defer close(w.ended)
	var failure error // of an earlier write; cleared by a successful rewrite
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
		clear(writes) // releases the records to the garbage collector
	}
}

// writeBatch writes a batch with one sync, unless an earlier write has failed and the batch is not
// a rewrite of the whole journal. It returns the error that makes the journal unusable, nil if
// there is none.
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

// batchLength returns the number of leading writes that can share one sync. A rewrite of the
// journal is a batch of its own.
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

// joinData returns the concatenated records of a batch.
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
