package executor

import (
	"context"
	"time"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/workflow/assignment"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// storePlans has what was chosen written.
func (d *Desk) storePlans(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-d.plans:
			d.say(ctx, statetable.Expire, p.Expire)
			d.say(ctx, statetable.Take, p.Take)
		}
	}
}

func (d *Desk) say(ctx context.Context, kind statetable.Kind, ids []string) {
	if len(ids) == 0 {
		return
	}
	c := &statetable.Command{Kind: kind}
	if kind == statetable.Take {
		c.By, c.Until = d.cfg.Name, d.log.Now().Milliseconds()+assignment.LeaseFor
	}
	for _, id := range ids {
		c.Words = append(c.Words, statetable.Word{ID: id})
	}
	if index := d.write(ctx, c); index > 0 {
		d.said.Store(&said{index, time.Now()})
	}
}

// write has a command agreed on and returns the index of its entry, 0 where nobody knows.
func (d *Desk) write(ctx context.Context, c *statetable.Command) (index uint64) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(writeTime))
	defer cancel()
	done, err := d.log.Propose(ctx, ledger.Entry{Op: ledger.Flow, Flow: c})
	if err != nil {
		d.line.WithError(err).WithField("kind", c.Kind).Debug("a word on workflows was not written")
		return 0
	}
	return done.Index
}

// storeWords has what became of steps and undos written, several at a time.
func (d *Desk) storeWords(ctx context.Context) {
	for {
		var first word
		select {
		case <-ctx.Done():
			return
		case first = <-d.words:
		}
		by := map[statetable.Kind][]word{first.kind: {first}}
		wait := time.NewTimer(wordsWait)
	gather:
		for n := 1; n < batch; n++ {
			select {
			case w := <-d.words:
				by[w.kind] = append(by[w.kind], w)
			case <-wait.C:
				break gather
			}
		}
		wait.Stop()
		for kind, list := range by {
			c := &statetable.Command{Kind: kind}
			for _, w := range list {
				c.Words = append(c.Words, w.Word)
			}
			agreed := d.write(ctx, c) > 0
			if kind != statetable.Took {
				continue
			}
			for _, w := range list {
				e := ended{id: w.ID, tries: w.tries}
				if agreed { // the log may have it before it is applied here
					e.wrote = &w.Word
				}
				d.ended <- e // there is room for as many as are under way
			}
		}
	}
}

func (d *Desk) put(w word) bool {
	select {
	case d.words <- w:
		return true
	default:
		if n := d.lost.Add(1); n&(n-1) == 0 { // the 1st, 2nd, 4th, ...: guards the log
			d.line.WithField("count", n).Warn("too much waits to be written about workflows; a word is lost")
		}
		return false
	}
}
