// Package loadreport reads the load reports of runners, which come as JSON
// objects or in a header.
package loadreport

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"strings"
)

// Parse reads a report written as a JSON object, or as in a header, and returns its
// values in the order of columns, NaN for one that is missing; nil where there is no
// report. Guards a runner that leaves a figure out from looking full or empty. Guards probes of runners that write the body of /_load as they write the
// header: what they say would be lost.
func Parse(text []byte, columns []string) []float32 {
	if bytes.HasPrefix(text, []byte(headerForm)) {
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

// headerForm begins a report that is written as name=value pairs.
const headerForm = "TEXT "

// ParseHeader reads a report written as "TEXT name=value, name=value".
func ParseHeader(text string, columns []string) []float32 {
	text, ok := strings.CutPrefix(text, headerForm)
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

// unknownValues returns a report that says nothing.
func unknownValues(n int) []float32 {
	load := make([]float32, n)
	for i := range load {
		load[i] = float32(math.NaN())
	}
	return load
}
