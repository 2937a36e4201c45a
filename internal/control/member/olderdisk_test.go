package member_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/journal"
	"frosttide/internal/control/replica"
	"frosttide/internal/protocol"
)

// olderDisk returns the journal file of an earlier version of the program that has accepted a
// configuration with texts in ISO 8859-1 and with escapes of Go.
func olderDisk(t *testing.T) []byte {
	t.Helper()
	state := replica.FoundingState(onlyMember(), []*protocol.Member{onlyMember()})
	put := func(key string, message proto.Message) {
		value, err := proto.Marshal(message)
		require.NoError(t, err)
		state.Store.Apply([]*protocol.Put{{Key: key, Value: value}}, nil)
	}
	put("c", &protocol.ConfigRecord{Version: 1, Order: 2})
	put("c/route/a", &protocol.ConfigItem{Position: 1, Version: 1, Json: []byte(`{"Name":"a","Host":"h","PathPrefix":"/a/","TimeoutMs":3000,"Service":"s","Title":"repetici` + "\xf3" + `n"}`)})
	put("c/service/s", &protocol.ConfigItem{Position: 2, Version: 1, Json: []byte(`{"Name":"s","Title":"\x7f\""}`)})
	file, err := journal.Snapshot(state)
	require.NoError(t, err)
	return file
}

// TestDiskOfOlderVersionOpens guards against a member that does not start, or does not answer, because
// an earlier version of the program has stored texts that are refused now.
func TestDiskOfOlderVersionOpens(t *testing.T) {
	state, _, err := journal.Read(olderDisk(t))
	require.NoError(t, err)
	m := runSingleMember(t, state)
	require.True(t, json.Valid(m.readConfig()), "%s", m.readConfig())
	m.configure(1, true, `{"Version":2,"Upsert":{"Routes":[{"Name":"a","Host":"h","PathPrefix":"/a/","TimeoutMs":3000,"Service":"s","Title":"repetición"}]}}`)
	require.EqualValues(t, http.StatusOK, m.reply.GetStatus())
	require.Contains(t, string(m.readConfig()), `"Title":"repetición"`)
}

// readConfig returns the configuration as an operator reads it.
func (m *singleMember) readConfig() []byte {
	m.t.Helper()
	m.sendRequest(&protocol.ClientRequest{Op: &protocol.ClientRequest_ReadConfig{ReadConfig: &protocol.ReadConfig{}}})
	require.EqualValues(m.t, http.StatusOK, m.reply.GetStatus())
	return m.reply.GetBody()
}
