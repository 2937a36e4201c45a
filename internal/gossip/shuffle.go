package gossip

import (
	"cmp"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

const (
	// partialViewSize is the maximum number of neighbors that a process keeps.
	partialViewSize = 8
	// shuffleSize is the number of entries in a shuffle message, including the sender's own.
	shuffleSize = 4
	// minShuffleInterval and maxShuffleInterval bound the interval between shuffles. It starts
	// short, so that the partial views mix quickly while a system starts up, and is multiplied by
	// shuffleIntervalGrowth with each shuffle.
	minShuffleInterval    = 200 * time.Millisecond
	maxShuffleInterval    = 2 * time.Second
	shuffleIntervalGrowth = 1.25
	// shufflesPerContact is the period, in shuffles, of the additional shuffle with a contact.
	shufflesPerContact = 4
	// bootstrapInterval is the interval between shuffles with a contact while the partial view is
	// empty.
	bootstrapInterval = 150 * time.Millisecond
)

// beginShuffle exchanges a part of the partial view with the oldest neighbor (Voulgaris, Gavidia &
// van Steen 2005, enhanced shuffling). That neighbor is removed: while it is alive, its entry
// returns through other processes, so dead neighbors disappear without failure detection.
func (m *Machine) beginShuffle() {
	for _, n := range m.neighbors {
		n.Age++
	}
	m.shuffleCount++
	if len(m.neighbors) == 0 || m.shuffleCount%shufflesPerContact == 0 {
		m.shuffleWithContact()
	}
	if len(m.neighbors) == 0 {
		m.nextShuffle = m.now + bootstrapInterval
		return
	}
	m.shuffleInterval = min(maxShuffleInterval, max(minShuffleInterval, time.Duration(float64(m.shuffleInterval)*shuffleIntervalGrowth)))
	m.nextShuffle = m.now + m.shuffleInterval
	oldest := slices.MaxFunc(m.neighbors, func(a, b *protocol.Neighbor) int { return cmp.Compare(a.GetAge(), b.GetAge()) })
	m.removeNeighbor(oldest.GetAddress())
	m.offered = m.sample(shuffleSize - 1)
	m.offerNeighbors(oldest.GetAddress(), m.offered)
}

// shuffleWithContact starts a shuffle with a random contact. This joins groups of processes that
// started from different contacts or were partitioned.
func (m *Machine) shuffleWithContact() {
	if len(m.cfg.Contacts) == 0 {
		return
	}
	if to := m.cfg.Contacts[m.rng.IntN(len(m.cfg.Contacts))]; to != m.cfg.Address {
		m.offerNeighbors(to, m.sample(shuffleSize-1))
	}
}

// offerNeighbors starts a shuffle: it sends this process's own entry and the given neighbors.
func (m *Machine) offerNeighbors(to string, neighbors []*protocol.Neighbor) {
	self := &protocol.Neighbor{Address: m.cfg.Address, Role: m.cfg.Role}
	m.sendShuffle(to, &protocol.Shuffle{Neighbors: cloneNeighbors(append([]*protocol.Neighbor{self}, neighbors...))})
}

func (m *Machine) sendShuffle(to string, s *protocol.Shuffle) {
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_Shuffle{Shuffle: s}})
}

// cloneNeighbors copies entries for a message, because the ages of those in the partial view keep
// increasing.
func cloneNeighbors(neighbors []*protocol.Neighbor) []*protocol.Neighbor {
	cloned := make([]*protocol.Neighbor, len(neighbors))
	for i, n := range neighbors {
		cloned[i] = &protocol.Neighbor{Address: n.GetAddress(), Role: n.GetRole(), Age: n.GetAge()}
	}
	return cloned
}

// onShuffle handles a shuffle request or reply. If the partial view was empty, it also adds the
// sender and sends it a rumor at once.
func (m *Machine) onShuffle(from string, s *protocol.Shuffle) {
	replaceable := m.offered
	if !s.GetReply() {
		replaceable = m.sample(shuffleSize)
		m.sendShuffle(from, &protocol.Shuffle{Neighbors: cloneNeighbors(replaceable), Reply: true})
	}
	wasIsolated := len(m.neighbors) == 0
	m.mergeNeighbors(s.GetNeighbors(), replaceable)
	if wasIsolated {
		m.mergeNeighbors([]*protocol.Neighbor{{Address: from}}, nil)
		m.sendRumor(from, m.rumor())
	}
}

// mergeNeighbors adds received entries to the partial view. If it is full, they replace the entries
// in replaceable, which the sender was given, and random entries once those are used up.
func (m *Machine) mergeNeighbors(received, replaceable []*protocol.Neighbor) {
	for _, n := range received {
		if n.GetAddress() == m.cfg.Address || m.isNeighbor(n.GetAddress()) {
			continue
		}
		if len(m.neighbors) >= partialViewSize && len(replaceable) > 0 {
			m.removeNeighbor(replaceable[0].GetAddress())
			replaceable = replaceable[1:]
		}
		if len(m.neighbors) >= partialViewSize {
			at := m.rng.IntN(len(m.neighbors))
			m.neighbors = slices.Delete(m.neighbors, at, at+1)
		}
		m.neighbors = append(m.neighbors, n)
	}
}

func (m *Machine) isNeighbor(address string) bool {
	return slices.ContainsFunc(m.neighbors, func(n *protocol.Neighbor) bool { return n.GetAddress() == address })
}

func (m *Machine) removeNeighbor(address string) {
	m.neighbors = slices.DeleteFunc(m.neighbors, func(n *protocol.Neighbor) bool { return n.GetAddress() == address })
}

// sample returns up to limit random neighbors.
func (m *Machine) sample(limit int) []*protocol.Neighbor {
	out := slices.Clone(m.neighbors)
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(limit, len(out))]
}

// maxNeighborDraws is how many times randomNeighbor draws until it finds an entry with an address.
const maxNeighborDraws = 4

// randomNeighbor returns the address of a random neighbor, and false if none is found. It skips
// entries without an address, which come only from malformed messages.
func (m *Machine) randomNeighbor() (address string, ok bool) {
	for range maxNeighborDraws {
		if len(m.neighbors) == 0 {
			return "", false
		}
		if address := m.neighbors[m.rng.IntN(len(m.neighbors))].GetAddress(); address != "" {
			return address, true
		}
	}
	return "", false
}
