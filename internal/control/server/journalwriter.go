package server

import (
	"frosttide/internal/control/journal"
	"frosttide/internal/control/replica"
	"frosttide/internal/mailbox"
)

// journalWriter writes what the replica hands over: all that waits at once, with one sync.
type journalWriter struct {
	file   *journal.File
	inbox  *mailbox.Box[replica.Write]
	onDone func(sequence uint64, size int64, err error)
}

func newJournalWriter(file *journal.File, onDone func(sequence uint64, size int64, err error)) *journalWriter {
	w := &journalWriter{file: file, inbox: mailbox.New[replica.Write](), onDone: onDone}
	go w.run()
	return w
}

func (w *journalWriter) enqueue(write replica.Write) { w.inbox.Put(write) }

func (w *journalWriter) run() {
	var failed error // until the whole state is written anew
	var queue []replica.Write
	for range w.inbox.Ready() {
		queue = w.inbox.Drain(queue[:0])
		for len(queue) > 0 {
			count := batchLength(queue)
			batch := queue[:count]
			last := batch[count-1].Sequence
			if batch[0].Image != nil {
				failed = w.file.Rewrite(batch[0].Image)
			} else if failed == nil {
				failed = w.file.Write(joinData(batch))
			}
			w.onDone(last, w.file.Size(), failed)
			queue = queue[count:]
		}
	}
}

// batchLength returns how many writes from the first are done at once.
func batchLength(queue []replica.Write) int {
	if queue[0].Image != nil {
		return 1
	}
	for i, write := range queue {
		if write.Image != nil {
			return i
		}
	}
	return len(queue)
}

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
