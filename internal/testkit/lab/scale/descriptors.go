package scale

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// descriptors returns how many this process may open.
func descriptors() (uint64, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("descriptors: %w", err)
	}
	return limit.Cur, nil
}
