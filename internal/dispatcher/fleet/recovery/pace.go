package recovery

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// paceJitter is the width of the relative error of a pace measured by another member: it is the
// mean of about sixteen jobs, whose run times vary by more than their mean.
const paceJitter = 0.4

// JitteredPace returns the pace (relative run time; 1 is average, lower is faster) that a member
// assumes for a runner it knows only from other members' measurements: the reported pace, changed
// by up to a fifth either way. The change depends only on the member's instance number and the
// runner's UID, so that it is stable. Without it, all members that rejoin at once would pick the
// same runner as the fastest, since all were sent the same report.
func JitteredPace(reported float64, instance int, uid string) float64 {
	h := xxhash.Sum64String(strconv.Itoa(instance) + "/" + uid)
	return reported * (1 + paceJitter*(float64(h>>11)/(1<<53)-0.5))
}
