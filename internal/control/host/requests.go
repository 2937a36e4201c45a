package host

import (
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// onRequest handles a client's request: writes where this member is the head, reads where it is the tail.
func (h *Host) onRequest(from string, r *protocol.ClientRequest) {
	read := false
	switch r.GetOp().(type) {
	case *protocol.ClientRequest_ReadState, *protocol.ClientRequest_ReadConfig, *protocol.ClientRequest_ReadPending:
		read = true
	}
	switch {
	case !read && h.scheduler != nil:
		h.scheduler.Request(from, r, func(key string) bool {
			_, ok := h.machine.Store().Get(key)
			return ok
		})
	case read && h.machine.View() != nil && view.Tail(h.machine.View()) == h.machine.Status().Self:
		h.nextRead++
		h.reads[h.nextRead] = pendingRead{to: from, reply: h.read(r)}
		h.act(h.machine.Read(h.process.Now(), h.nextRead))
	default:
		h.reply(from, &protocol.ClientReply{Id: r.GetId(), NotServing: true})
		if h.machine.Epoch() > 0 {
			h.process.Send(from, &protocol.Envelope{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: h.machine.View()}}})
		}
	}
}

func (h *Host) reply(to string, r *protocol.ClientReply) {
	h.process.Send(to, &protocol.Envelope{Body: &protocol.Envelope_ClientReply{ClientReply: r}})
}

// finishRead answers a read whose answer is certain, or sends its client elsewhere.
func (h *Host) finishRead(token uint64, certain bool) {
	r, ok := h.reads[token]
	if !ok {
		return
	}
	delete(h.reads, token)
	if !certain {
		r.reply = &protocol.ClientReply{Id: r.reply.GetId(), NotServing: true}
	}
	h.reply(r.to, r.reply)
}

// read returns the answer to a read by the state as it is.
func (h *Host) read(r *protocol.ClientRequest) *protocol.ClientReply {
	out := &protocol.ClientReply{Id: r.GetId(), Status: http.StatusOK, ConfigVersion: h.gossip.Config().Version}
	switch op := r.GetOp().(type) {
	case *protocol.ClientRequest_ReadState:
		value, ok := h.machine.Store().Get(jobs.StatusKey(op.ReadState.GetId()))
		if !ok {
			out.Status = http.StatusGone
			return out
		}
		state, _, err := jobs.Status(value)
		if err != nil {
			klog.ErrorS(err, "A job's state can't be read", "job", op.ReadState.GetId())
			out.Status = http.StatusInternalServerError
			return out
		}
		out.Body = []byte(`{"State":"` + state.String() + `"}`)
	case *protocol.ClientRequest_ReadPending:
		out.Body = []byte(`{"Pending":` + strconv.Itoa(h.pending(op.ReadPending.GetQueue())) + `}`)
	case *protocol.ClientRequest_ReadConfig:
		table, err := scheduler.LoadConfig(h.machine.Store())
		switch {
		case err != nil:
			klog.ErrorS(err, "The configuration can't be read")
			out.Status = http.StatusInternalServerError
		case table.Version == 0:
			out.Status = http.StatusNotFound
		default:
			out.Body = table.Document()
		}
	}
	return out
}

// pending returns how many jobs of a queue have not ended.
func (h *Host) pending(queue string) (count int) {
	h.machine.Store().Each(func(key string, value []byte) {
		if !jobs.IsStatusKey(key) {
			return
		}
		if state, q, err := jobs.Status(value); err == nil && q == queue && !state.Final() {
			count++
		}
	})
	return count
}
