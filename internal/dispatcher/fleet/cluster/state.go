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
	dialInterval = 500 * time.Millisecond
	dialTimeout  = 250 * time.Millisecond
	// mostKnocks bounds the addresses that are tried at a time.
	maxDials = 16
)

// around is what is known of addresses at which nobody is seen.
type refusedAddrs struct {
	mu      sync.Mutex
	refused map[string]bool // by address; absent for not tried yet
}

// knock tries addresses at which nobody is seen, until the context ends. A machine that says
// that nobody listens is evidence that its member does not work; silence is none.
func (c *Cluster) dialUnseen(ctx context.Context) {
	for {
		dials := 0
		for _, addr := range c.unseen() {
			if dials++; dials > maxDials {
				break
			}
			c.goroutines.Add(1)
			go func() {
				defer c.goroutines.Done()
				refused := c.refuses(ctx, addr)
				c.unseenAddrs.mu.Lock()
				c.unseenAddrs.refused[addr] = refused
				c.unseenAddrs.mu.Unlock()
			}()
		}
		t := time.NewTimer(jitter(dialInterval))
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
	all := c.members.All()
	for _, i := range all {
		seen[i.Addr] = seen[i.Addr] || i.Status == members.Alive
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
	c.unseenAddrs.mu.Lock()
	defer c.unseenAddrs.mu.Unlock()
	for addr := range c.unseenAddrs.refused { // who is back is not refused any more
		if !slices.Contains(out, addr) {
			delete(c.unseenAddrs.refused, addr)
		}
	}
	return out
}

// refuses tells whether a machine answers that nobody listens at an address.
func (c *Cluster) refuses(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(dialTimeout))
	defer cancel()
	conn, err := c.port.Dial(ctx, clusterport.Calls, addr)
	if err == nil {
		defer conn.Close()
		var one [1]byte
		if err = conn.SetReadDeadline(time.Now().Add(dialTimeout)); err == nil {
			_, err = conn.Read(one[:]) // a member would wait for our request
		}
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}

// Standing tells what is known of the others and of the log.
func (c *Cluster) State(context.Context) (rejoin.FleetState, bool) {
	s := rejoin.FleetState{ReplicasCompared: c.informed.Load(), NoPeers: true}
	by := map[string]sharers.PeerState{}
	c.unseenAddrs.mu.Lock()
	for addr, refused := range c.unseenAddrs.refused {
		by[addr] = sharers.Unseen
		if refused {
			by[addr] = sharers.Refused
		}
	}
	c.unseenAddrs.mu.Unlock()
	for _, addr := range c.cfg.Join {
		if addr != c.port.Advertised() && by[addr] != sharers.Refused {
			s.NoPeers = false
		}
	}
	for _, i := range c.members.All() {
		switch {
		case i.Name == c.cfg.Name || i.Addr == c.port.Advertised():
		case i.Status == members.Alive && !i.Leaving:
			by[i.Addr], s.PeerAlive = sharers.Alive, true
		case i.Status == members.Departed || i.Leaving:
			by[i.Addr] = sharers.Departed
		case by[i.Addr] != sharers.Refused:
			by[i.Addr] = sharers.Unseen
		}
	}
	for _, l := range by {
		s.Peers = append(s.Peers, l)
	}
	s.ReplicasCompared = s.ReplicasCompared || !s.PeerAlive // there is nobody to compare with
	s.Log = c.logState()
	return s, true
}

// logStands tells how the agreed log stands here.
func (c *Cluster) logState() stage.Log {
	if c.quorum.LostError() != nil {
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
func (c *Cluster) SetStage(s stage.Stage) {
	c.members.Update(func(m *members.Meta) { m.Stage = uint8(s) })
}

// Compare has copies compared anew, soon.
func (c *Cluster) CompareReplicas() {
	c.informed.Store(false)
	select {
	case c.compareNow <- struct{}{}:
	default:
	}
}

// recalls tells whether what a member remembers of keyed jobs is all that there was.
func outcomesComplete(i members.Info) bool { return stage.Stage(i.Stage).Rights().OutcomesComplete }
