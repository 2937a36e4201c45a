package replica

import (
	"time"

	"frosttide/internal/protocol"
)

// Timing holds the machine's periods and thresholds. All durations are measured on the steady clock.
type Timing struct {
	HeartbeatInterval time.Duration // time between heartbeats
	SuspectTimeout    time.Duration // time without contact after which a member counts as dead
	BootstrapDelay    time.Duration // time after the start during which a member waits to learn of an existing view
	ProposalTimeout   time.Duration // time after which a proposal is abandoned
	GatherDelay       time.Duration // time that a proposal with a quorum of promises waits for further promises
	InstallTimeout    time.Duration // time without progress after which a chain that is installing its state is replaced
	ConfirmInterval   time.Duration // time between the head's confirmations of its epoch
	DiskStallTimeout  time.Duration // age of an unfinished write from which a disk counts as stalled
	DiskSlowThreshold time.Duration // mean time of a sync from which a disk counts as slow
	DiskRetryInterval time.Duration // time between a failed write and the next attempt to write the complete file
	ReplaceAfter      time.Duration // time without contact after which a joiner may replace a voter
	LostAfter         time.Duration // time without contact after which a voter is removed if the live ones need a smaller majority
	ForgetAfter       time.Duration // time without contact after which a voter is removed without a replacement
	MinRewriteBytes   int           // size of the file, in bytes, below which it is never rewritten
}

// DefaultTiming returns the production timing. A lost member is suspected after half a second: early enough for writes to
// resume within 1.5 s, late enough that stalls of a shared processor are not taken for failures.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 100 * time.Millisecond,
		SuspectTimeout:    500 * time.Millisecond,
		BootstrapDelay:    250 * time.Millisecond,
		ProposalTimeout:   700 * time.Millisecond,
		GatherDelay:       30 * time.Millisecond,
		InstallTimeout:    700 * time.Millisecond,
		ConfirmInterval:   200 * time.Millisecond,
		DiskStallTimeout:  700 * time.Millisecond,
		DiskSlowThreshold: 80 * time.Millisecond,
		DiskRetryInterval: 500 * time.Millisecond,
		ReplaceAfter:      3 * time.Second,
		LostAfter:         time.Second,
		ForgetAfter:       20 * time.Second,
		MinRewriteBytes:   4 << 20,
	}
}

// Config identifies a member and sets its parameters.
type Config struct {
	Self            *protocol.Member // with the identity that is kept on the member's disk
	Incarnation     uint64           // drawn when the process starts
	ToleratedFaults int              // number of machines that may be lost at once, with their disks
	Contacts        []string         // internal addresses that get heartbeats while no view is known
	Seed            uint64           // seeds the random delays between proposals
	Timing          Timing
}
