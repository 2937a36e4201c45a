package faults

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"frosttide/internal/dispatcher/fleet/cluster"
)

// report asks a member's console.
func (f *fleet) report(m *member) (r cluster.Report, err error) {
	if !m.up() || m.stopped {
		return r, errors.New("it does not run")
	}
	resp, err := f.cold.Get("http://" + m.console + "/api/cluster")
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return r, err
	}
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return r, json.Unmarshal(text, &r)
}

// said is what an operator's call came to.
type said uint8

// move has an operator leave a runner out at a member, or put it back.
func (f *fleet) move(m *member, uid string, out bool) (said, string) {
	path := "/api/include"
	if out {
		path = "/api/exclude"
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+m.console+path, strings.NewReader(fmt.Sprintf(`{"host":%q}`, uid)))
	if err != nil {
		return unclear, err.Error()
	}
	resp, err := f.cold.Do(req)
	if err != nil {
		return unclear, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK {
		return done, ""
	}
	return refused, strings.TrimSpace(string(text))
}
