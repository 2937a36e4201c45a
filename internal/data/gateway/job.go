package gateway

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"

	"frosttide/internal/jsonbody"
	"frosttide/internal/protocol"
)

// ErrJob marks the errors of parsing a job's body; test for it with errors.Is.
var ErrJob = errors.New("job")

// jobError returns an error that is marked with ErrJob.
func jobError(format string, args ...any) error {
	return errors.Mark(errors.Newf("job: "+format, args...), ErrJob)
}

// parseJob parses a job's JSON body. Unknown members are ignored. It checks only syntax, texts and types;
// the control plane validates the job as a whole.
func parseJob(body []byte) (*protocol.Submit, error) {
	v, err := jsonbody.Parse(body)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "job: the body can't be read"), ErrJob)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, jobError("the body is no object")
	}
	r := fieldReader{value: v}
	submit := &protocol.Submit{
		Spec:       r.string("Spec"),
		MaxRuns:    uint32(r.int64("MaxRuns")),
		StartAtMs:  r.int64("StartAtMs"),
		IntervalMs: r.int64("IntervalMs"),
	}
	for i, stage := range v.GetArray("Stages") {
		stageReader := fieldReader{value: stage}
		submit.Stages = append(submit.Stages, stageReader.stage())
		if stageReader.err != nil {
			return nil, jobError("Stages[%d].%v", i, stageReader.err)
		}
	}
	return submit, r.err
}

// maxNumber limits the numbers of a job, so that sums of them can't overflow an int64.
const maxNumber = 1 << 50

// fieldReader reads the members of a JSON object. A member that is missing or null reads as the
// zero value. The first member that has the wrong type or is out of range sets err.
type fieldReader struct {
	value *fastjson.Value
	err   error
}

// typeError records that a member is not of the wanted type, unless an error is recorded already.
func (r *fieldReader) typeError(name, want string) {
	if r.err == nil {
		r.err = jobError("%s: it is no %s", name, want)
	}
}

// get returns a member, or nil if it is missing or null.
func (r *fieldReader) get(name string) *fastjson.Value {
	if v := r.value.Get(name); v != nil && v.Type() != fastjson.TypeNull {
		return v
	}
	return nil
}

// string reads a JSON string.
func (r *fieldReader) string(name string) string {
	v := r.get(name)
	if v == nil {
		return ""
	}
	text, err := v.StringBytes()
	if err != nil {
		r.typeError(name, "text")
	}
	return string(text)
}

// int64 reads an integer from 0 to maxNumber.
func (r *fieldReader) int64(name string) int64 {
	v := r.get(name)
	if v == nil {
		return 0
	}
	number, err := v.Float64()
	if err != nil || number < 0 || number > maxNumber || number != float64(int64(number)) {
		r.typeError(name, "whole number in range")
		return 0
	}
	return int64(number)
}

// uint32 reads an integer from 0 to 2^31.
func (r *fieldReader) uint32(name string) uint32 {
	n := r.int64(name)
	if n > 1<<31 {
		r.typeError(name, "number in range")
	}
	return uint32(n)
}

// bool reads a JSON boolean.
func (r *fieldReader) bool(name string) bool {
	v := r.get(name)
	if v == nil {
		return false
	}
	flag, err := v.Bool()
	if err != nil {
		r.typeError(name, "true or false")
	}
	return flag
}

// stage reads the object as a stage of a job.
func (r *fieldReader) stage() *protocol.Stage {
	return &protocol.Stage{
		Count:        r.uint32("Count"),
		Cpu:          r.int64("Cpu"),
		MemMb:        r.int64("MemMb"),
		Gpus:         r.int64("Gpus"),
		EstimateMs:   r.int64("EstimateMs"),
		Checkpoints:  r.bool("Checkpoints"),
		Gang:         r.bool("Gang"),
		SameRack:     r.bool("SameRack"),
		Requirements: r.string("Requirements"),
		Affinity:     r.string("Affinity"),
		AntiAffinity: r.uint32("AntiAffinity"),
		Speculative:  r.bool("Speculative"),
		LongRunning:  r.bool("LongRunning"),
		DependsOn:    r.stageIndexes("DependsOn"),
	}
}

// stageIndexes reads a list of indexes into the job's stages.
func (r *fieldReader) stageIndexes(name string) (indexes []uint32) {
	for _, v := range r.value.GetArray(name) {
		index, err := v.Uint()
		if err != nil {
			r.typeError(name, "list of steps")
		}
		indexes = append(indexes, uint32(index))
	}
	return indexes
}
