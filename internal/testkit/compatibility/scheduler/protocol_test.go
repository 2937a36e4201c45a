package compatibility_test

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"frosttide/internal/protocol"
)

// protocolPackage is the protobuf package of the internal protocol.
const protocolPackage = "frosttide.protocol"

// protocolMessages returns the descriptors of all messages of the internal protocol, including
// nested ones, sorted by name.
func protocolMessages(t *testing.T) (all []protoreflect.MessageDescriptor) {
	t.Helper()
	var add func(messages protoreflect.MessageDescriptors)
	add = func(messages protoreflect.MessageDescriptors) {
		for i := range messages.Len() {
			all = append(all, messages.Get(i))
			add(messages.Get(i).Messages())
		}
	}
	protoregistry.GlobalFiles.RangeFilesByPackage(protocolPackage, func(file protoreflect.FileDescriptor) bool {
		add(file.Messages())
		return true
	})
	require.NotEmpty(t, all)
	slices.SortFunc(all, func(a, b protoreflect.MessageDescriptor) int {
		return strings.Compare(string(a.FullName()), string(b.FullName()))
	})
	return all
}

// filledMessage returns a message with all fields set to values derived from their field numbers.
// Of the fields of its oneof, only choice is set; it is nil for a message without one.
func filledMessage(t *testing.T, descriptor protoreflect.MessageDescriptor, choice protoreflect.FieldDescriptor) protoreflect.Message {
	t.Helper()
	messageType, err := protoregistry.GlobalTypes.FindMessageByName(descriptor.FullName())
	require.NoError(t, err)
	message := messageType.New()
	for i := range descriptor.Fields().Len() {
		field := descriptor.Fields().Get(i)
		if field.ContainingOneof() != nil && field != choice {
			continue
		}
		require.False(t, field.IsMap(), "%s is a map, whose encoding has no fixed order", field.FullName())
		if !field.IsList() {
			message.Set(field, testValue(t, field, 0))
			continue
		}
		list := message.Mutable(field).List()
		for element := range 2 {
			list.Append(testValue(t, field, element))
		}
	}
	return message
}

// testValue returns the value of a field in a filled message. For a list, element is the index of
// the item, otherwise 0.
func testValue(t *testing.T, field protoreflect.FieldDescriptor, element int) protoreflect.Value {
	t.Helper()
	number := int(field.Number())*10 + element + 1
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(1<<20 + uint32(number))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(1<<40 + uint64(number))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(-int64(number))
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("%s %d", field.Name(), number))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte{0, byte(number), 0xff})
	case protoreflect.MessageKind:
		return protoreflect.ValueOfMessage(filledMessage(t, field.Message(), firstChoice(field.Message())))
	default:
		require.Failf(t, "no test value", "field %s has kind %v, which testValue does not support", field.FullName(), field.Kind())
		return protoreflect.Value{}
	}
}

// firstChoice returns the first field of a message's oneof, or nil if it has none.
func firstChoice(descriptor protoreflect.MessageDescriptor) protoreflect.FieldDescriptor {
	if descriptor.Oneofs().Len() == 0 {
		return nil
	}
	return descriptor.Oneofs().Get(0).Fields().Get(0)
}

// filledMessages returns every message of the internal protocol with all fields set, by name. A
// message with a oneof is included once for each of its choices.
func filledMessages(t *testing.T) (names []string, byName map[string]protoreflect.Message) {
	t.Helper()
	byName = make(map[string]protoreflect.Message)
	add := func(name string, message protoreflect.Message) {
		names = append(names, name)
		byName[name] = message
	}
	for _, descriptor := range protocolMessages(t) {
		name := string(descriptor.FullName())
		if descriptor.Oneofs().Len() == 0 {
			add(name, filledMessage(t, descriptor, nil))
			continue
		}
		require.Equal(t, 1, descriptor.Oneofs().Len(), "number of oneofs in %s", name)
		choices := descriptor.Oneofs().Get(0).Fields()
		for i := range choices.Len() {
			add(name+"/"+string(choices.Get(i).Name()), filledMessage(t, descriptor, choices.Get(i)))
		}
	}
	return names, byName
}

// TestCompatibilityMessageBytes checks that every message of the internal protocol, with all fields
// set, is encoded to the bytes that earlier releases send and store.
func TestCompatibilityMessageBytes(t *testing.T) {
	names, byName := filledMessages(t)
	var text strings.Builder
	for _, name := range names {
		encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(byName[name].Interface())
		require.NoError(t, err)
		fmt.Fprintf(&text, "%s %s\n", name, hex.EncodeToString(encoded))
	}
	requireGolden(t, "messages.txt", text.String())
}

// TestCompatibilityMessagesRead checks that the bytes in messages.txt are decoded to the same
// values, without unknown fields.
func TestCompatibilityMessagesRead(t *testing.T) {
	names, byName := filledMessages(t)
	file, err := os.Open(filepath.Join("testdata", "messages.txt"))
	require.NoError(t, err)
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	read := 0
	for ; lines.Scan(); read++ {
		name, digits, _ := strings.Cut(lines.Text(), " ")
		want := byName[name]
		require.NotNil(t, want, "message %s does not exist any more", name)
		encoded, err := hex.DecodeString(digits)
		require.NoError(t, err)
		got := want.Type().New()
		require.NoError(t, proto.UnmarshalOptions{}.Unmarshal(encoded, got.Interface()), name)
		require.True(t, proto.Equal(want.Interface(), got.Interface()), "%s was decoded to different values", name)
	}
	require.NoError(t, lines.Err())
	require.Len(t, names, read)
}

// TestCompatibilityMessageFields pins the numbers, types and names of all fields, the reserved
// numbers, and the methods and paths of the services.
func TestCompatibilityMessageFields(t *testing.T) {
	var text strings.Builder
	for _, descriptor := range protocolMessages(t) {
		fmt.Fprintf(&text, "message %s\n", descriptor.FullName())
		describeFields(&text, descriptor)
	}
	protoregistry.GlobalFiles.RangeFilesByPackage(protocolPackage, func(file protoreflect.FileDescriptor) bool {
		for i := range file.Services().Len() {
			describeService(&text, file.Services().Get(i))
		}
		return true
	})
	service := protocol.DRPCPeerDescription{}
	for i := range service.NumMethods() {
		path, _, _, _, ok := service.Method(i)
		require.True(t, ok)
		fmt.Fprintf(&text, "path %s\n", path)
	}
	requireGolden(t, "fields.txt", text.String())
}

// describeFields writes the fields of a message, sorted by number, and its reserved numbers.
func describeFields(text *strings.Builder, descriptor protoreflect.MessageDescriptor) {
	fields := make([]protoreflect.FieldDescriptor, 0, descriptor.Fields().Len())
	for i := range descriptor.Fields().Len() {
		fields = append(fields, descriptor.Fields().Get(i))
	}
	slices.SortFunc(fields, func(a, b protoreflect.FieldDescriptor) int { return int(a.Number() - b.Number()) })
	for _, field := range fields {
		kind := field.Kind().String()
		if field.Message() != nil {
			kind = string(field.Message().FullName())
		}
		fmt.Fprintf(text, "  %d %s %s %s", field.Number(), field.Name(), field.Cardinality(), kind)
		if field.IsPacked() {
			text.WriteString(" packed")
		}
		if field.HasOptionalKeyword() {
			text.WriteString(" with presence")
		}
		if field.ContainingOneof() != nil {
			fmt.Fprintf(text, " in oneof %s", field.ContainingOneof().Name())
		}
		text.WriteString("\n")
	}
	for i := range descriptor.ReservedRanges().Len() {
		reserved := descriptor.ReservedRanges().Get(i)
		fmt.Fprintf(text, "  reserved %d to %d\n", reserved[0], reserved[1]-1)
	}
}

// describeService writes the methods of a service with their message types and streaming modes.
func describeService(text *strings.Builder, service protoreflect.ServiceDescriptor) {
	fmt.Fprintf(text, "service %s\n", service.FullName())
	for i := range service.Methods().Len() {
		method := service.Methods().Get(i)
		fmt.Fprintf(text, "  %s %s streaming %v, %s streaming %v\n", method.Name(), method.Input().FullName(), method.IsStreamingClient(),
			method.Output().FullName(), method.IsStreamingServer())
	}
}
