package replica

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"reflect"
)

// fingerprint returns a digest of the complete state of an exploration: all members' state machines with their unexported
// fields, their disks, and the messages in flight. Functions are ignored, so that a callback is represented only by the
// sequence of its write.
func (x *exploration) fingerprint() uint64 {
	h := fnv.New64a()
	visited := make(map[uintptr]bool)
	for _, n := range x.members {
		hashValue(h, reflect.ValueOf(n).Elem(), visited)
	}
	hashValue(h, reflect.ValueOf(x.inFlight), visited)
	return h.Sum64()
}

// hashNumber adds a number to the digest.
func hashNumber(h hash.Hash, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	h.Write(b[:])
}

// hashValue adds a value and everything that it refers to. Pointers that are being visited are not followed again.
func hashValue(h hash.Hash, v reflect.Value, visited map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			hashNumber(h, 1)
		} else {
			hashNumber(h, 0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		hashNumber(h, uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		hashNumber(h, v.Uint())
	case reflect.Float32, reflect.Float64:
		hashNumber(h, uint64(v.Float()*1e6))
	case reflect.String:
		hashNumber(h, uint64(v.Len()))
		h.Write([]byte(v.String()))
	case reflect.Slice, reflect.Array:
		hashSequence(h, v, visited)
	case reflect.Map:
		hashMap(h, v, visited)
	case reflect.Struct:
		for i := range v.NumField() {
			if !skippedFields[v.Type().Field(i).Name] {
				hashValue(h, v.Field(i), visited)
			}
		}
	case reflect.Pointer, reflect.Interface:
		hashNumber(h, 7)
		if v.IsNil() || v.Kind() == reflect.Pointer && visited[v.Pointer()] {
			return
		}
		if v.Kind() == reflect.Pointer {
			visited[v.Pointer()] = true
			defer delete(visited, v.Pointer())
		}
		hashValue(h, v.Elem(), visited)
	default: // functions and channels
	}
}

// skippedFields are the names of fields that are not part of the state: internal fields of protobuf messages, and a
// function.
var skippedFields = map[string]bool{"state": true, "sizeCache": true, "unknownFields": true, "watch": true}

// hashSequence adds the elements of a slice or an array.
func hashSequence(h hash.Hash, v reflect.Value, visited map[uintptr]bool) {
	hashNumber(h, uint64(v.Len()))
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
		h.Write(v.Bytes())
		return
	}
	for i := range v.Len() {
		hashValue(h, v.Index(i), visited)
	}
}

// hashMap adds the entries of a map, independent of their order.
func hashMap(h hash.Hash, v reflect.Value, visited map[uintptr]bool) {
	sum := uint64(v.Len())
	for _, key := range v.MapKeys() {
		entry := fnv.New64a()
		hashValue(entry, key, visited)
		hashValue(entry, v.MapIndex(key), visited)
		sum += entry.Sum64()
	}
	hashNumber(h, sum)
}
