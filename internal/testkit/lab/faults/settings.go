package faults

import (
	"cmp"
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// onceGiveUp is how long clients wait for jobs of class once, which must not run twice in that
// time. Scripts that repeat a job after a member's start use class once-long.
const onceGiveUp = 2 * time.Second

// watermarkDir is the name of a member's folder for the watermark, which is stored apart from the
// log.
const watermarkDir = "apart"

// settings returns the content of a member's configuration file.
func (f *fleet) settings(m *member) string {
	var voters, join []string
	for _, o := range f.members[:f.voters] {
		voters = append(voters, fmt.Sprintf("%q", o.name))
	}
	for _, a := range f.net.advertisedAddrs {
		join = append(join, fmt.Sprintf("%q", a))
	}
	var zones []string
	for i := range f.zones {
		zones = append(zones, fmt.Sprintf("%q", f.zone(i)))
	}
	cluster := ""
	if !f.standalone {
		cluster = fmt.Sprintf("[cluster]\nlisten = %q\nadvertise = %q\njoin = [%s]\nvoters = [%s]\ndir = %q\ndiscovery = \"one\"\n[recovery]\nkeep = %q\n%s",
			f.net.listenAddrs[m.i], f.net.advertisedAddrs[m.i], strings.Join(join, ", "), strings.Join(voters, ", "), filepath.Join(m.dir, "log"), filepath.Join(m.dir, watermarkDir), f.recoverySettings)
		if f.flows {
			cluster += "[workflow]\nenabled = true\n"
		}
	}
	if f.stored {
		cluster += fmt.Sprintf("[state]\ndir = %q\nevery = \"50ms\"\n", filepath.Join(m.dir, "list"))
	}
	if f.gangs {
		cluster += "[gang]\nenabled = true\nreports_every = \"100ms\"\n[attempts]\nsecond_copies = true\n"
	}
	return fmt.Sprintf(`name = %q
[listen]
clients = %q
console = %q
[discovery]
address = %q
ask_within = "1s"
[fleet]
zones = [%s]
zone = %q
far_price = 0.3
kinds = ["m"]
dispatchers = %d
number = %d
[drain]
grace = "500ms"
[limits]
sockets = 1024
%s%s
[[class]]
name = "render"
wanted_within = "1s"
give_up = "2s"
[[class]]
name = "reel"
wanted_within = "10s"
give_up = "30s"
[[class]]
name = "release"
effect = "keyed"
repeats_dropped_by = "zone"
window = "40s"
wanted_within = "1s"
give_up = "2s"
[[class]]
name = "once"
effect = "unsafe"
wanted_within = "1s"
give_up = %q
[[class]]
name = "once-long"
effect = "unsafe"
wanted_within = "1s"
give_up = "30s"
`, cmp.Or(m.alias, m.name), m.clientAddr, m.consoleAddr, m.discoveryAddr, strings.Join(zones, ", "), f.zone(m.i), len(f.members), m.i, f.coldSettings, cluster, onceGiveUp)
}
