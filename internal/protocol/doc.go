// Package protocol defines the messages that the processes of the cluster scheduler exchange, and
// the encoding of the records that they store.
//
// protocol.proto is the source; generate.sh generates protocol.pb.go and protocol_drpc.pb.go from
// it, which are committed. Package transport carries Envelope, the only message type of the only
// service, Peer; the other messages are the variants of Envelope, parts of these, and the values
// that packages journal, jobs, scheduler and routeconfig store.
//
// During a rolling update, processes of different releases exchange messages, and a member reads
// records that an earlier release stored. Therefore field numbers, types and the service path never
// change, removed field numbers stay reserved, and the zero value of a new field means the same as
// its absence did before. Package testkit/compatibility/scheduler pins the encoded bytes.
//
// Messages are plain data: once a message has been sent or passed on, nobody may modify it.
package protocol
