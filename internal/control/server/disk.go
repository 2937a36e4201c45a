package server

import (
	"frosttide/internal/control/journal"
	"frosttide/internal/control/replica"
	"frosttide/internal/mailbox"
)

// disk writes what the replica hands over: all that waits at once, with one sync.
type disk struct {
	file *journal.File
	box  *mailbox.Box[replica.Write]
	done func(sequence uint64, size int64, err error)
}

func newDisk(file *journal.File, done func(sequence uint64, size int64, err error)) *disk {
	d := &disk{file: file, box: mailbox.New[replica.Write](), done: done}
	go d.run()
	return d
}

func (d *disk) put(w replica.Write) { d.box.Put(w) }

func (d *disk) run() {
	var failed error // until the whole state is written anew
	var queue []replica.Write
	for range d.box.Ready() {
		queue = d.box.Drain(queue[:0])
		for len(queue) > 0 {
			count := together(queue)
			group := queue[:count]
			last := group[count-1].Sequence
			if group[0].Image != nil {
				failed = d.file.Rewrite(group[0].Image)
			} else if failed == nil {
				failed = d.file.Write(join(group))
			}
			d.done(last, d.file.Size(), failed)
			queue = queue[count:]
		}
	}
}

// together returns how many writes from the first are done at once.
func together(queue []replica.Write) int {
	if queue[0].Image != nil {
		return 1
	}
	for i, w := range queue {
		if w.Image != nil {
			return i
		}
	}
	return len(queue)
}

func join(group []replica.Write) []byte {
	if len(group) == 1 {
		return group[0].Data
	}
	var out []byte
	for _, w := range group {
		out = append(out, w.Data...)
	}
	return out
}
