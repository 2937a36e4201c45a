package store

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestDigestsFollowItems changes two stores at random. It requires that their digests are equal if and only if their items
// are, that a watcher sees every change, and that repairing the differing ranges makes the stores equal.
func TestDigestsFollowItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stores := [2]*Store{New(), New()}
		watched := make(map[string]string)
		stores[0].Watch(func(key string, previous, current []byte) {
			require.Equal(t, watched[key], string(previous), "previous value of %s", key)
			if current == nil {
				delete(watched, key)
				return
			}
			watched[key] = string(current)
		})
		for range rapid.IntRange(0, 60).Draw(t, "changes") {
			s := stores[rapid.IntRange(0, 1).Draw(t, "store")]
			key := fmt.Sprint("k", rapid.IntRange(0, 8).Draw(t, "key"))
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				s.Delete(key)
			} else {
				s.Put(key, fmt.Appendf(nil, "v%d", rapid.IntRange(0, 2).Draw(t, "value")))
			}
		}
		equal := fmt.Sprint(stores[0].All()) == fmt.Sprint(stores[1].All())
		require.Equal(t, equal, CombineDigests(stores[0].Digests()) == CombineDigests(stores[1].Digests()))
		require.Len(t, watched, stores[0].Len())
		for key, value := range watched {
			got, ok := stores[0].Get(key)
			require.True(t, ok, "item %s was deleted without calling the watcher", key)
			require.Equal(t, value, string(got), "value of %s", key)
		}
		ranges := stores[1].DifferingRanges(stores[0].Digests())
		require.Equal(t, equal, len(ranges) == 0)
		for _, r := range ranges {
			items := stores[1].ItemsInRange(r)
			require.Equal(t, stores[1].Digests()[r], DigestItems(items))
			puts, deletes := stores[0].Repair([]uint32{r}, GroupByRange(items)[r])
			stores[0].Apply(puts, deletes)
		}
		require.Equal(t, stores[1].Digests(), stores[0].Digests())
		require.Equal(t, stores[1].Bytes(), stores[0].Bytes())
	})
}
