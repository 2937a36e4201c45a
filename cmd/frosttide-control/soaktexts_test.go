package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"frosttide/internal/testkit/devcluster"
	"frosttide/internal/testkit/signalsoak"
)

// Texts in the requests of a soak.
const (
	// unusualText is, in JSON, a text that the processes have to pass on unchanged: a flag of seven
	// characters in quotation marks, a backslash, control characters and a line separator.
	unusualText = `\"\ud83c\udff4\udb40\udc67\udb40\udc62\udb40\udc65\udb40\udc6e\udb40\udc67\udb40\udc7f\" \\ \u0007\u007f\u2028`
	// latin1Text is a text in ISO 8859-1, which the processes have to refuse.
	latin1Text = "repetici\xf3n"
)

// soakJob is a job of one task.
const soakJob = `{"Spec":"sleep 50ms ` + unusualText + `","Stages":[{"Count":1,"Cpu":100,"MemMb":10,"EstimateMs":50}]}`

// invalidJobs are requests for a gateway that it has to refuse because of a text, as format strings
// for the ID of a job.
var invalidJobs = []string{
	post("/previews/%s", strings.Replace(soakJob, unusualText, latin1Text, 1)),
	post("/previews/%s", strings.Replace(soakJob, unusualText, `\udcf3`, 1)),
	"GET /previews/%s%%F3 HTTP/1.1\r\nHost: " + devcluster.Host + "\r\n\r\n",
	"DELETE /previews/%s%%F3 HTTP/1.1\r\nHost: " + devcluster.Host + "\r\n\r\n",
}

// post returns a request that submits a body.
func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", path, devcluster.Host, len(body), body)
}

// runInvalidClient sends requests with texts that are not Unicode to the gateways until the context
// ends. It returns the number of requests by outcome.
func (s *soak) runInvalidClient(ctx context.Context) map[string]int {
	serial := 0
	client := &signalsoak.Client{
		Timeout: routeTimeout,
		Pause:   invalidPause,
		Pick: func() (int, string) {
			g := serial % len(s.Gateways)
			return len(s.Cores) + g, s.Gateways[g].Front()
		},
		Next: func(last *signalsoak.Outcome) *signalsoak.Request {
			if last != nil {
				s.checkRefusal(last)
			}
			serial++
			id := fmt.Sprintf("eeeeeeee%08x", serial)
			return &signalsoak.Request{ID: id, Text: fmt.Appendf(nil, invalidJobs[serial%len(invalidJobs)], id)}
		},
	}
	client.Run(ctx)
	return countOutcomes("invalid: ", client)
}

// checkRefusal reports a violation if a request with a text that is not Unicode got another complete
// response than 400, or 503 from a gateway without a configuration.
func (s *soak) checkRefusal(o *signalsoak.Outcome) {
	if o.Ending == "" && o.Status != http.StatusBadRequest && o.Status != http.StatusServiceUnavailable {
		s.reportViolation("%s: %s, whose text is not Unicode: got status %d, want 400", s.targets[o.Target].Name, o.ID, o.Status)
	}
}

// sendInvalidConfig sends a configuration patch in which a name is not UTF-8 to a core machine.
func (s *soak) sendInvalidConfig(core *devcluster.Machine, version int) {
	body := fmt.Appendf(nil, `{"Version":%d,"Upsert":{"Routes":[{"Name":"%s","Host":"%s","PathPrefix":"/invalid/","TimeoutMs":1000,"Service":"toy"}]}}`, version+1, latin1Text, devcluster.Host)
	if status := patchConfig(core.Control(), version, body); status/100 == 2 {
		s.reportViolation("%s acknowledges a configuration that is not UTF-8 with %d", core.Name, status)
	}
}
