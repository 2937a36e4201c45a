package gearman

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// admin answers a line of the administrative protocol.
func (x *session) admin(line string) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return
	}
	switch strings.ToLower(words[0]) {
	case "version":
		x.say("OK frosttide\n")
	case "status":
		x.server.box.Put(func(s *Server) { x.say(s.statusText()) })
	case "workers":
		x.server.box.Put(func(s *Server) { s.workersText(x) })
	case "maxqueue":
		x.say("OK\n") // nothing is queued here: what finds no place is refused
	case "shutdown":
		x.say("ERR not_allowed shutting+down+is+the+service+manager's\n")
	default:
		x.say("ERR unknown_command Unknown+server+command\n")
	}
}

// statusText writes a line for each function: its name, the jobs there are, those that
// run, and the workers that can do it.
func (s *Server) statusText() string {
	total, running := map[string]int{}, map[string]int{}
	for _, j := range s.jobs {
		total[j.function]++
		if j.running {
			running[j.function]++
		}
	}
	able := map[string]int{}
	s.mu.Lock()
	for _, x := range s.sessions {
		for _, name := range x.abilities() {
			able[name]++
		}
	}
	s.mu.Unlock()
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(*s.functions.Load())) {
		fmt.Fprintf(&out, "%s\t%d\t%d\t%d\n", name, total[name], running[name], able[name])
	}
	return out.String() + ".\n"
}

// workersText writes a line for each connection: a number, its address, its id and what it
// can do.
func (s *Server) workersText(to *session) {
	var lines []string
	s.mu.Lock()
	for _, x := range s.sessions {
		host, _, _ := strings.Cut(x.conn.RemoteAddr().String(), ":")
		lines = append(lines, fmt.Sprintf("%d %s %s : %s\n", x.number, host, x.name(), strings.Join(x.abilities(), " ")))
	}
	s.mu.Unlock()
	slices.Sort(lines)
	to.say(strings.Join(lines, "") + ".\n")
}
