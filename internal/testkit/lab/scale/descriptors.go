package scale

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// descriptorLimit returns the soft limit of open file descriptors of this process.
func descriptorLimit() (uint64, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("descriptors: %w", err)
	}
	return limit.Cur, nil
}
