package faults

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"frosttide/internal/dispatcher/fleet/cluster"
)

// report fetches a member's report from its console. It fails if the member is down or stalled.
func (f *fleet) report(m *member) (r cluster.Report, err error) {
	if !m.up() || m.stalled {
		return r, errors.New("it does not run")
	}
	resp, err := f.http.Get("http://" + m.consoleAddr + "/api/cluster")
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

// outcome is the result of an operator's call.
type outcome uint8

// order is an operator's order to exclude or include a runner. It can be repeated under its ID.
type order struct {
	id, uid string
	exclude bool
}

// sendOrder sends an order to a member once. The string is the reason where the order is not done.
func (f *fleet) sendOrder(m *member, o order) (outcome, string) {
	path := "/api/include"
	if o.exclude {
		path = "/api/exclude"
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+m.consoleAddr+path, strings.NewReader(fmt.Sprintf(`{"host":%q,"order":%q}`, o.uid, o.id)))
	if err != nil {
		return unclear, err.Error()
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return unclear, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	why := strings.TrimSpace(string(text))
	switch resp.StatusCode {
	case http.StatusOK:
		return done, ""
	case http.StatusGatewayTimeout:
		return unclear, why
	}
	return refused, why
}

// sendOrderUntilDone repeats an order under its ID until it is done, as the answers ask for. If it
// never is, the outcome is unclear if any answer was: the order may be in force.
func (r *scriptRun) sendOrderUntilDone(m *member, o order) (result outcome, why string) {
	result = refused
	first := true
	_ = r.retryUntil(func() error { // the outcome is returned below
		var got outcome
		began := time.Now()
		got, why = r.fleet.sendOrder(m, o)
		if first && got != done {
			r.requireSoon(fmt.Sprintf("order %s at %s", o.id, m.name), began, errors.New(why))
		}
		first = false
		switch {
		case got == done:
			result = done
			return nil
		case got == unclear:
			result = unclear
		}
		return errors.New(why)
	})
	return result, why
}
