package agent

import "frosttide/internal/protocol"

// fullSyncParts collects the parts of a full sync. They arrive in orders with consecutive sequences, and
// are applied at once when the last one is there: until then the runs of the earlier full sync go on.
type fullSyncParts struct {
	orders *protocol.RunnerOrders // first part, with the runs and drops of all parts so far
	next   uint32                 // number of the next part
}

// missesPartBefore reports whether orders are a part of a full sync without the parts before it. The
// head sends another full sync then, as the reports do not acknowledge the part.
func (m *Machine) missesPartBefore(o *protocol.RunnerOrders) bool {
	if !o.GetFull() || o.GetPart() == 0 {
		return false
	}
	return m.syncParts == nil || m.syncParts.next != o.GetPart() || o.GetSequence() != m.appliedSequence+1
}

// collectParts returns the orders to apply: the given ones, or all parts of a full sync together. It
// returns nil while parts are missing, and makes a report due that acknowledges the part.
func (m *Machine) collectParts(o *protocol.RunnerOrders) *protocol.RunnerOrders {
	if !o.GetFull() || o.GetParts() <= 1 {
		m.syncParts = nil
		return o
	}
	m.nextReport = 0
	if o.GetPart() == 0 {
		m.syncParts = &fullSyncParts{orders: &protocol.RunnerOrders{Full: true}}
	}
	parts := m.syncParts
	parts.next++
	parts.orders.Runs = append(parts.orders.Runs, o.GetRuns()...)
	parts.orders.Drop = append(parts.orders.Drop, o.GetDrop()...)
	if parts.next < o.GetParts() {
		return nil
	}
	m.syncParts = nil
	return parts.orders
}
