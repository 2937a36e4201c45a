package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"
)

// batch encodes a batch frame with records.
func batch(seq uint32, clock time.Duration, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.LittleEndian.AppendUint32(nil, uint32(len(records)))
	out = binary.LittleEndian.AppendUint32(out, uint32(20+len(body)))
	out = binary.LittleEndian.AppendUint64(out, uint64(clock/time.Microsecond))
	out = binary.LittleEndian.AppendUint32(out, seq)
	return append(out, body...)
}

// record encodes a record with a code and fields.
func record(code uint16, fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range append([]any{code}, fields...) {
		if err := binary.Write(&b, binary.LittleEndian, f); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

// provision encodes the record that starts an instance with a seed.
func provision(instance uint16, seed uint64) []byte {
	settings := `{"request-classes": [{"aim": 200000, "give-up": 5000000}]}`
	return append(record(265, instance, seed, uint32(len(settings))), settings...)
}

// worker encodes a list's entry of a ready worker, without its ID.
func worker(id uint32) []byte {
	return record(0, uint16(0), uint16(0), uint16(0), uint8(0), float32(1), uint64(0))[2:]
}

// census encodes the record that defines a numbered worker list.
func census(sheet uint8, ids ...uint32) []byte {
	out := record(261, sheet, uint32(len(ids)))
	for _, id := range ids {
		out = binary.LittleEndian.AppendUint32(out, id)
		out = append(out, worker(id)...)
	}
	return out
}

// fleet encodes the record that delivers a numbered worker list to an instance.
func fleet(instance uint16, sheet uint8) []byte {
	return record(267, instance, sheet, uint8(3), uint64(1))
}

// arrival encodes the record of a request's arrival.
func arrival(instance uint16, id uint32, deadline time.Duration) []byte {
	return record(264, instance, id, uint64(deadline/time.Microsecond), float32(1), uint64(0), float32(0), uint32(0),
		uint8(0), uint32(0), uint8(0))
}

// codes decodes replies and formats the actions of each as "batch: code/instance ...".
func codes(t *testing.T, raw []byte) (out []string) {
	t.Helper()
	sizes := map[uint16]int{256: 16, 259: 12, 261: 8, 262: 4, 264: 16, 265: 10, 266: 8, 267: 5}
	for len(raw) > 0 {
		frame := raw[:binary.LittleEndian.Uint32(raw)]
		raw = raw[len(frame):]
		line := fmt.Sprintf("%d:", binary.LittleEndian.Uint32(frame[4:]))
		for at := 8; at < len(frame); {
			code := binary.LittleEndian.Uint16(frame[at:])
			line += fmt.Sprintf(" %d/%d", code, binary.LittleEndian.Uint16(frame[at+2:]))
			if code == 263 {
				at += 6 + int(binary.LittleEndian.Uint16(frame[at+4:]))
			} else if sizes[code] == 0 {
				t.Fatalf("unknown action code %d", code)
			}
			at += sizes[code]
		}
		out = append(out, line)
	}
	return out
}

// runFrames serves frames and returns the replies as formatted by codes, the log and the error.
func runFrames(t *testing.T, frames ...[]byte) (replies []string, log string, err error) {
	t.Helper()
	var out, errs bytes.Buffer
	err = serve(bytes.NewReader(bytes.Join(frames, nil)), &out, &errs)
	return codes(t, out.Bytes()), errs.String(), err
}

// TestServeAnswersEveryBatch checks that each batch gets exactly one reply.
func TestServeAnswersEveryBatch(t *testing.T) {
	replies, log, err := runFrames(t,
		batch(1, time.Second),
		batch(2, 2*time.Second, provision(3, 7), census(0, 50, 51), fleet(3, 0)),
		batch(3, 3*time.Second, arrival(3, 9, 8*time.Second)),
	)
	if err != nil || log != "" {
		t.Fatalf("serve: got error %v and log %q, want neither", err, log)
	}
	want := []string{"1:", "2:", "3: 256/3 264/3"}
	if fmt.Sprint(replies) != fmt.Sprint(want) {
		t.Errorf("got %q, want %q", replies, want)
	}
}

// TestInstanceIncarnations checks that an instance that is detached and provisioned again in one
// batch does not know the workers of its predecessor.
func TestInstanceIncarnations(t *testing.T) {
	replies, log, err := runFrames(t,
		batch(1, time.Second, provision(0, 7), census(0, 50), fleet(0, 0)),
		batch(2, 2*time.Second, arrival(0, 1, 8*time.Second), record(256, uint16(0)), provision(0, 8)),
		batch(3, 3*time.Second, arrival(0, 2, 8*time.Second)),
		batch(4, 4*time.Second, record(256, uint16(0))),
		batch(5, 5*time.Second, arrival(0, 3, 9*time.Second)),
	)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"1:", "2:", "3: 259/0", "4:", "5:"}
	if fmt.Sprint(replies) != fmt.Sprint(want) {
		t.Errorf("got %q, want %q", replies, want)
	}
	if !strings.Contains(log, "instance 0, which is not provisioned") {
		t.Errorf("got log %q, want it to name the instance whose event was dropped", log)
	}
}

// TestBadSettingsAreAFault checks that invalid settings are reported once, as a fault, and that the
// log names the invalid key.
func TestBadSettingsAreAFault(t *testing.T) {
	bad := append(record(265, uint16(4), uint64(1), uint32(2)), "{}"...)
	replies, log, err := runFrames(t, batch(1, time.Second, bad))
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(replies) != "[1: 263/4]" || !strings.Contains(log, "request-classes") {
		t.Errorf("got %q and log %q, want a fault that names request-classes", replies, log)
	}
}

// TestMalformedBatchEndsWithoutReply checks that a malformed batch makes serve fail without a reply
// to that batch.
func TestMalformedBatchEndsWithoutReply(t *testing.T) {
	replies, _, err := runFrames(t, batch(1, time.Second, provision(0, 1)), batch(2, 2*time.Second, record(999, uint16(0))))
	if err == nil || !strings.Contains(err.Error(), "batch 2") || !strings.Contains(err.Error(), "999") {
		t.Errorf("got %v, want an error that names the batch and the code", err)
	}
	if len(replies) != 1 {
		t.Errorf("got replies %q, want only the one to the valid batch", replies)
	}
}

// TestInstancesShareNoState checks that instances share no state: the actions of an instance are the
// same whether or not other instances run in the process.
func TestInstancesShareNoState(t *testing.T) {
	var together, alone []string
	frames := func(instances ...uint16) (out [][]byte) {
		start := [][]byte{census(0, 50, 51, 52, 53)}
		for _, n := range instances {
			start = append(start, provision(n, uint64(n)), fleet(n, 0))
		}
		out = append(out, batch(1, time.Second, start...))
		for i := range uint32(30) {
			var records [][]byte
			for _, n := range instances {
				records = append(records, arrival(n, 1+i, 20*time.Second))
			}
			out = append(out, batch(2+i, time.Second+time.Duration(i)*time.Millisecond, records...))
		}
		return out
	}
	actions := func(frames [][]byte, instance uint16) (out []string) {
		var raw bytes.Buffer
		if err := serve(bytes.NewReader(bytes.Join(frames, nil)), &raw, &bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
		for _, line := range codes(t, raw.Bytes()) {
			for _, a := range strings.Fields(line)[1:] {
				if strings.HasSuffix(a, fmt.Sprintf("/%d", instance)) {
					out = append(out, a)
				}
			}
		}
		return out
	}
	together = actions(frames(1, 2, 3), 2)
	alone = actions(frames(2), 2)
	if len(alone) < 30 || fmt.Sprint(together) != fmt.Sprint(alone) {
		t.Errorf("actions of instance 2: got %v beside others, want at least 30 and the same as alone: %v", together, alone)
	}
}
