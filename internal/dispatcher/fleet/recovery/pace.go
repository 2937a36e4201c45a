package recovery

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// paceSpread is by how much a pace that another member has measured may be off: it is a mean
// of about sixteen jobs, whose own lengths differ by more than their mean.
const paceSpread = 0.4

// Pace returns the pace that a member goes by for a runner of which it knows from others only:
// what they measured, off by up to a fifth either way, by the member's number and the
// runner's id. Guards the runner that all who come back at once would take for the best, as
// they were all told the same of it.
func Pace(told float64, number int, uid string) float64 {
	h := xxhash.Sum64String(strconv.Itoa(number) + "/" + uid)
	return told * (1 + paceSpread*(float64(h>>11)/(1<<53)-0.5))
}
