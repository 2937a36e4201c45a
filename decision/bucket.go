package decision

// token is the right to send one slot's work to its worker.
type token struct {
	worker     *worker
	prev, next *token // neighbors in the bucket
	newer      *token // the worker's next free token
	order      uint64 // never falls along the bucket; the head holds the next one
}

// bucket is the ring of free tokens. Its head's next has been free longest.
type bucket struct{ head token }

// put places a free token before another; before the head is the back.
func (b *bucket) put(w *worker, t, before *token) {
	*t = token{worker: w, prev: before.prev, next: before, order: before.order}
	if before == &b.head {
		b.head.order++
	}
	t.prev.next, before.prev = t, t
	if w.oldest == nil {
		w.oldest = t
	} else {
		w.newest.newer = t
	}
	w.newest = t
	w.free++
}

// take removes the worker's token that has been free longest from the bucket.
func (b *bucket) take(w *worker) {
	t := w.oldest
	t.prev.next, t.next.prev = t.next, t.prev
	w.oldest = t.newer
	w.free--
}
