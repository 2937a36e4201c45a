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
	// dialInterval is the interval at which addresses without a live member are dialled, and
	// dialTimeout bounds the wait for a response. A missing response may mean a partition.
	dialInterval = 500 * time.Millisecond
	dialTimeout  = 250 * time.Millisecond
	// maxDials bounds the addresses that are dialled at each interval.
	maxDials = 16
)

// refusedAddrs holds the results of dialling addresses without a live member.
type refusedAddrs struct {
	mu      sync.Mutex
	refused map[string]bool // by address; absent if not dialled yet
}

// dialUnseen periodically dials the addresses without a live member until ctx ends. A refused
// connection is evidence that the member is not running; a missing response is not.
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

// unseen returns the configured addresses and those of known members at which no member is alive.
// It also drops the dial results of all other addresses.
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
	for addr := range c.unseenAddrs.refused { // a member that has returned is not refused any more
		if !slices.Contains(out, addr) {
			delete(c.unseenAddrs.refused, addr)
		}
	}
	return out
}

// refuses reports whether connections to an address are refused, or closed without a response, so
// that no member runs there. A time-out or another error is not a refusal.
func (c *Cluster) refuses(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(dialTimeout))
	defer cancel()
	conn, err := c.port.Dial(ctx, clusterport.Calls, addr)
	if err == nil {
		defer conn.Close()
		var buf [1]byte
		if err = conn.SetReadDeadline(time.Now().Add(dialTimeout)); err == nil {
			_, err = conn.Read(buf[:]) // a running member waits for a request
		}
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}

// State returns what this member knows of the other members and of the log. It never fails; the
// signature is that of rejoin.Fleet.
func (c *Cluster) State(context.Context) (rejoin.FleetState, bool) {
	s := rejoin.FleetState{ReplicasCompared: c.replicasCompared.Load(), NoPeers: true}
	states := map[string]sharers.PeerState{}
	c.unseenAddrs.mu.Lock()
	for addr, refused := range c.unseenAddrs.refused {
		states[addr] = sharers.Unseen
		if refused {
			states[addr] = sharers.Refused
		}
	}
	c.unseenAddrs.mu.Unlock()
	for _, addr := range c.cfg.Join {
		if addr != c.port.Advertised() && states[addr] != sharers.Refused {
			s.NoPeers = false
		}
	}
	for _, i := range c.members.All() {
		switch {
		case i.Name == c.cfg.Name || i.Addr == c.port.Advertised():
		case i.Status == members.Alive && !i.Leaving:
			states[i.Addr], s.PeerAlive = sharers.Alive, true
		case i.Status == members.Departed || i.Leaving:
			states[i.Addr] = sharers.Departed
		case states[i.Addr] != sharers.Refused:
			states[i.Addr] = sharers.Unseen
		}
	}
	for _, state := range states {
		s.Peers = append(s.Peers, state)
	}
	// Without a live peer there is nothing to compare with.
	s.ReplicasCompared = s.ReplicasCompared || !s.PeerAlive
	s.Log = c.logState()
	return s, true
}

// logState returns the state of this member's replica of the log.
func (c *Cluster) logState() stage.Log {
	if c.quorum.LostError() != nil {
		return stage.LogLost
	}
	status := c.quorum.Status()
	switch {
	case status.Leader == "" || status.Contact < 0 || c.quorum.LogName() == "":
		return stage.LogUnknown
	case status.Last == 0 || status.Applied < status.Last:
		return stage.LogBehind
	}
	return stage.LogApplied
}

// SetStage publishes this member's rejoin stage.
func (c *Cluster) SetStage(s stage.Stage) {
	c.members.Update(func(m *members.Meta) { m.Stage = uint8(s) })
}

// CompareReplicas marks the replicas as not compared and starts a comparison soon.
func (c *Cluster) CompareReplicas() {
	c.replicasCompared.Store(false)
	select {
	case c.compareNow <- struct{}{}:
	default:
	}
}

// outcomesComplete reports whether a member's rejoin stage implies that its outcome records of
// keyed jobs are complete.
func outcomesComplete(i members.Info) bool { return stage.Stage(i.Stage).Rights().OutcomesComplete }
