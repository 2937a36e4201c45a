// Package loadreport parses the load reports of runners, which are JSON objects or header values.
// The connections to runners use it. Its functions are safe for concurrent use.
package loadreport

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"strings"
)

// Parse parses a report that is a JSON object or has the form of the header, which some runners
// also use in the body of /_load. It returns the report's values in the order of columns. A missing
// value is NaN, so that the runner looks neither full nor idle. It returns nil if there is no
// report or no column.
func Parse(text []byte, columns []string) []float32 {
	if bytes.HasPrefix(text, []byte(headerPrefix)) {
		return ParseHeader(string(text), columns)
	}
	var values map[string]any
	if len(columns) == 0 || json.Unmarshal(text, &values) != nil || len(values) == 0 {
		return nil
	}
	load := unknownValues(len(columns))
	for i, name := range columns {
		if v, ok := values[name].(float64); ok {
			load[i] = float32(v)
		}
	}
	return load
}

// headerPrefix starts a report that consists of name=value pairs.
const headerPrefix = "TEXT "

// ParseHeader parses a report of the form "TEXT name=value, name=value" and returns its values as
// Parse does.
func ParseHeader(text string, columns []string) []float32 {
	text, ok := strings.CutPrefix(text, headerPrefix)
	if !ok || len(columns) == 0 {
		return nil
	}
	load := unknownValues(len(columns))
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 32)
		for i := range columns {
			if columns[i] == name && err == nil {
				load[i] = float32(v)
			}
		}
	}
	return load
}

// unknownValues returns n values that are all missing, that is, NaN.
func unknownValues(n int) []float32 {
	load := make([]float32, n)
	for i := range load {
		load[i] = float32(math.NaN())
	}
	return load
}
