package cluster

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"frosttide/internal/dispatcher/fleet/clusterport"
	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/recovery/sharers"
	"frosttide/internal/dispatcher/fleet/recovery/stage"
	"frosttide/internal/dispatcher/fleet/rejoin"
)

const (
	// knockEvery is how often addresses are tried at which nobody is seen, and knockTime how
	// long an answer may take: what is silent for longer may be cut off.
	knockEvery = 500 * time.Millisecond
	knockTime  = 250 * time.Millisecond
	// mostKnocks bounds the addresses that are tried at a time.
	mostKnocks = 16
)

// around is what is known of addresses at which nobody is seen.
type around struct {
	mu      sync.Mutex
	refused map[string]bool // by address; absent for not tried yet
}

// knock tries addresses at which nobody is seen, until the context ends. A machine that says
// that nobody listens is evidence that its member does not work; silence is none.
func (c *Cluster) knock(ctx context.Context) {
	for {
		tried := 0
		for _, addr := range c.unseen() {
			if tried++; tried > mostKnocks {
				break
			}
			c.done.Add(1)
			go func() {
				defer c.done.Done()
				refused := c.refuses(ctx, addr)
				c.around.mu.Lock()
				c.around.refused[addr] = refused
				c.around.mu.Unlock()
			}()
		}
		t := time.NewTimer(jitter(knockEvery))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// unseen returns the addresses of the settings, and of members that are lost, at which nobody
// is alive.
func (c *Cluster) unseen() (out []string) {
	seen := map[string]bool{c.port.Advertised(): true}
	all := c.list.All()
	for _, i := range all {
		seen[i.Addr] = seen[i.Addr] || i.Life == members.Alive
	}
	add := func(addr string) {
		if !seen[addr] {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	for _, addr := range c.cfg.Join {
		add(addr)
	}
	for _, i := range all {
		add(i.Addr)
	}
	c.around.mu.Lock()
	defer c.around.mu.Unlock()
	for addr := range c.around.refused { // who is back is not refused any more
		if !slices.Contains(out, addr) {
			delete(c.around.refused, addr)
		}
	}
	return out
}

// refuses tells whether a machine answers that nobody listens at an address.
func (c *Cluster) refuses(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(knockTime))
	defer cancel()
	conn, err := c.port.Dial(ctx, clusterport.Calls, addr)
	if err == nil {
		defer conn.Close()
		var one [1]byte
		if err = conn.SetReadDeadline(time.Now().Add(knockTime)); err == nil {
			_, err = conn.Read(one[:]) // a member would wait for our request
		}
	}
	var late net.Error
	if errors.As(err, &late) && late.Timeout() || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}

// Standing tells what is known of the others and of the log.
func (c *Cluster) Standing(context.Context) (rejoin.Standing, bool) {
	s := rejoin.Standing{Copies: c.informed.Load(), Nobody: true}
	by := map[string]sharers.Life{}
	c.around.mu.Lock()
	for addr, refused := range c.around.refused {
		by[addr] = sharers.Unseen
		if refused {
			by[addr] = sharers.Refused
		}
	}
	c.around.mu.Unlock()
	for _, addr := range c.cfg.Join {
		if addr != c.port.Advertised() && by[addr] != sharers.Refused {
			s.Nobody = false
		}
	}
	for _, i := range c.list.All() {
		switch {
		case i.Name == c.cfg.Name || i.Addr == c.port.Advertised():
		case i.Life == members.Alive && !i.Goes:
			by[i.Addr], s.Met = sharers.Alive, true
		case i.Life == members.Left || i.Goes:
			by[i.Addr] = sharers.Left
		case by[i.Addr] != sharers.Refused:
			by[i.Addr] = sharers.Unseen
		}
	}
	for _, l := range by {
		s.Others = append(s.Others, l)
	}
	s.Copies = s.Copies || !s.Met // there is nobody to compare with
	s.Log = c.logStands()
	return s, true
}

// logStands tells how the agreed log stands here.
func (c *Cluster) logStands() stage.Log {
	if c.quorum.Lost() != nil {
		return stage.LogLost
	}
	q := c.quorum.Status()
	switch {
	case q.Leader == "" || q.Contact < 0 || c.quorum.LogName() == "":
		return stage.LogUnknown
	case q.Last == 0 || q.Applied < q.Last:
		return stage.LogBehind
	}
	return stage.LogApplied
}

// Stage makes known how far this member has come back.
func (c *Cluster) Stage(s stage.Stage) {
	c.list.Update(func(m *members.Meta) { m.Stage = uint8(s) })
}

// Compare has copies compared anew, soon.
func (c *Cluster) Compare() {
	c.informed.Store(false)
	select {
	case c.hurry <- struct{}{}:
	default:
	}
}

// recalls tells whether what a member remembers of keyed jobs is all that there was.
func recalls(i members.Info) bool { return stage.Stage(i.Stage).Rights().Recalls }
