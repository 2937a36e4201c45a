package replica

import (
	"frosttide/internal/control/event"
	"frosttide/internal/control/journal"
	"frosttide/internal/protocol"
)

// Actions lists what the owner of a Machine has to carry out after a call, in the order of the fields.
type Actions struct {
	Writes      []Write             // for the disk, in order; the owner reports finished ones with DiskDone
	Sends       []protocol.Outbound // messages to other processes; any of them may be lost
	Replies     []*protocol.Reply   // to clients whose entries are committed; only the tail returns any
	RoleChanges []RoleChange        // for the application
	ReadsReady  []uint64            // tokens of reads whose values may be returned to clients
	ReadsFailed []uint64            // tokens of reads that this member cannot confirm
	Events      []event.Event       // for the log
}

// Write is a task for the disk: records to append and sync, or a new file that replaces the old one. Writes are carried
// out in order, and several may share one sync.
type Write struct {
	Sequence uint64         // increases by 1 with each write
	Data     []byte         // records to append, nil if Image is set
	Image    *journal.Image // content of a new file, nil if Data is set
}

// RoleChange tells the application that this member starts or stops being the serving head.
type RoleChange struct {
	Serving bool
	Epoch   uint64 // of the view that caused the change
}
