package replica

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"reflect"
)

// fingerprint returns a digest of the whole state of a play: all members' state machines with their unexported fields,
// disks and messages on their way. Functions that wait for a write are told apart by that write only.
func (x *explored) fingerprint() uint64 {
	h := fnv.New64a()
	seen := make(map[uintptr]bool)
	for _, n := range x.members {
		walk(h, reflect.ValueOf(n).Elem(), seen)
	}
	walk(h, reflect.ValueOf(x.flight), seen)
	return h.Sum64()
}

func number(h hash.Hash, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	h.Write(b[:])
}

// walk adds a value with all that it refers to.
func walk(h hash.Hash, v reflect.Value, seen map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			number(h, 1)
		} else {
			number(h, 0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		number(h, uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		number(h, v.Uint())
	case reflect.Float32, reflect.Float64:
		number(h, uint64(v.Float()*1e6))
	case reflect.String:
		number(h, uint64(v.Len()))
		h.Write([]byte(v.String()))
	case reflect.Slice, reflect.Array:
		walkList(h, v, seen)
	case reflect.Map:
		walkMap(h, v, seen)
	case reflect.Struct:
		for i := range v.NumField() {
			if !passedOver[v.Type().Field(i).Name] {
				walk(h, v.Field(i), seen)
			}
		}
	case reflect.Pointer, reflect.Interface:
		number(h, 7)
		if v.IsNil() || v.Kind() == reflect.Pointer && seen[v.Pointer()] {
			return
		}
		if v.Kind() == reflect.Pointer {
			seen[v.Pointer()] = true
			defer delete(seen, v.Pointer())
		}
		walk(h, v.Elem(), seen)
	default: // functions and channels
	}
}

// passedOver are fields that say nothing of the state: bookkeeping of messages' encoding.
var passedOver = map[string]bool{"state": true, "sizeCache": true, "unknownFields": true, "watch": true}

func walkList(h hash.Hash, v reflect.Value, seen map[uintptr]bool) {
	number(h, uint64(v.Len()))
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
		h.Write(v.Bytes())
		return
	}
	for i := range v.Len() {
		walk(h, v.Index(i), seen)
	}
}

// walkMap adds a map's entries in no order.
func walkMap(h hash.Hash, v reflect.Value, seen map[uintptr]bool) {
	sum := uint64(v.Len())
	for _, key := range v.MapKeys() {
		one := fnv.New64a()
		walk(one, key, seen)
		walk(one, v.MapIndex(key), seen)
		sum += one.Sum64()
	}
	number(h, sum)
}
