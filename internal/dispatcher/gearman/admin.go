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
		x.sendLine("OK frosttide\n")
	case "status":
		x.server.mailbox.Put(func(s *Server) { x.sendLine(s.statusText()) })
	case "workers":
		x.server.mailbox.Put(func(s *Server) { s.workersText(x) })
	case "maxqueue":
		x.sendLine("OK\n") // nothing is queued here: a job without a free slot is rejected
	case "shutdown":
		x.sendLine("ERR not_allowed shutting+down+is+the+service+manager's\n")
	default:
		x.sendLine("ERR unknown_command Unknown+server+command\n")
	}
}

// statusText returns a line for each function: its name, its open jobs, those that run, and the
// workers that have it.
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

// workersText sends a line for each connection: its number, address, id and functions.
func (s *Server) workersText(to *session) {
	var lines []string
	s.mu.Lock()
	for _, x := range s.sessions {
		host, _, _ := strings.Cut(x.conn.RemoteAddr().String(), ":")
		lines = append(lines, fmt.Sprintf("%d %s %s : %s\n", x.number, host, x.name(), strings.Join(x.abilities(), " ")))
	}
	s.mu.Unlock()
	slices.Sort(lines)
	to.sendLine(strings.Join(lines, "") + ".\n")
}
