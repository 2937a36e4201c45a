package recovery

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// paceJitter is the width of the interval of relative changes that JitteredPace makes. It matches
// the error of a reported pace, which is the mean over about sixteen jobs whose run times vary by
// more than their mean.
const paceJitter = 0.4

// JitteredPace returns the pace (relative run time; 1 is average, lower is faster) that a member
// assumes for a runner that it knows only from other members' measurements: the reported pace,
// changed by up to a fifth either way. The change depends only on the member's instance number and
// the runner's UID, so it is stable. Without it, all members that rejoin at the same time would
// pick the same runner as the fastest, since all of them receive the same report.
func JitteredPace(reported float64, instance int, uid string) float64 {
	hash := xxhash.Sum64String(strconv.Itoa(instance) + "/" + uid)
	return reported * (1 + paceJitter*(float64(hash>>11)/(1<<53)-0.5))
}
