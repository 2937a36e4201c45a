package scheduler

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// TestRequestThatCannotBeEncoded guards against a request that costs the head, and then the next one,
// because its changes can't be encoded: it is rejected, and a replacement of the scheduler goes on.
func TestRequestThatCannotBeEncoded(t *testing.T) {
	const bad = "repetici\xf3n"
	h := newHarness(t)
	h.submit(1, "fast", stage(1, 100))
	h.scheduler.config = routeconfig.Load(&protocol.ConfigRecord{Version: 1}, map[string]*protocol.ConfigItem{
		"route/" + bad: {Position: 1, Version: 1, Json: []byte(`{"Name":"` + bad + `","Service":"svc"}`)},
		"route/fast":   {Position: 2, Version: 1, Json: []byte(`{"Name":"fast","Service":"svc"}`)},
	})
	request := func(id uint64, r *protocol.ClientRequest) {
		r.Id = id
		h.scheduler.HandleRequest("client", r)
	}
	request(101, cancelRequest("0000000000000001", "fast"))
	request(102, submitRequest(&protocol.Submit{Id: "0000000000000002", Queue: bad, Stages: []*protocol.Stage{stage(1, 100)}}))
	request(103, cancelRequest("0000000000000001", "fast"))
	e, err := h.scheduler.Entry(h.now)
	require.True(t, errors.Is(err, jobs.ErrUnencodable), "%v", err)
	require.Empty(t, e.GetPuts())
	require.Equal(t, []uint64{101, 103}, []uint64{e.GetReplies()[0].GetReply().GetId(), e.GetReplies()[1].GetReply().GetId()}, "requests of the same turn were not executed")
	sends := h.scheduler.TakeSends()
	reply := sends[len(sends)-1].Message.GetClientReply()
	require.EqualValues(t, 102, reply.GetId())
	require.EqualValues(t, http.StatusBadRequest, reply.GetStatus())

	dropped := h.scheduler
	h.scheduler, err = dropped.Replacement(h.now, h.wall(), h.index, h.store)
	require.NoError(t, err)
	require.Equal(t, dropped.lastSession, h.scheduler.lastSession)
	require.Nil(t, h.scheduler.Jobs().Get("0000000000000002"))
	require.EqualValues(t, http.StatusOK, h.request(cancelRequest("0000000000000001", "fast")).GetStatus())
}
