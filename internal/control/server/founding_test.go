package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/nodefile"
)

func TestFoundingMembers(t *testing.T) {
	seeds := []string{"10.0.0.2:8144", "10.0.0.1:8144"}
	tests := []struct {
		name      string
		bootstrap bool
		control   string
		seeds     []string
		want      []string // Control addresses in the order of the members' numbers
	}{
		{"seed", true, "10.0.0.1:8144", seeds, []string{"10.0.0.1:8144", "10.0.0.2:8144"}},
		{"not a seed", true, "10.0.0.3:8144", seeds, nil},
		{"no bootstrap", false, "10.0.0.1:8144", seeds, nil},
		{"seed without a port", true, "10.0.0.1:8144", []string{"10.0.0.1:8144", "10.0.0.2"}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings := &nodefile.File{Bootstrap: test.bootstrap, Seeds: test.seeds, PortRange: []int{7380, 7395}}
			settings.ListenAddrs.Control = test.control
			var got []string
			for i, founder := range foundingMembers(settings) {
				require.EqualValues(t, i+1, founder.GetNumber())
				require.Equal(t, founderID(founder.GetControl()), founder.GetId())
				got = append(got, founder.GetControl())
			}
			require.Equal(t, test.want, got)
		})
	}
}
