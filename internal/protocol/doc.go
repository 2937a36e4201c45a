// Package protocol holds the messages that the processes of the cluster scheduler exchange, and the bodies of the records
// that they store.
//
// protocol.proto is the source; generate.sh generates protocol.pb.go and protocol_drpc.pb.go, which are committed. Package
// transport carries Envelope, the only message of the one service Peer; the other messages are its variants, the parts of
// these, and the values that packages journal, jobs, scheduler and routeconfig store.
//
// Processes of different releases run one system during a rolling update, and a member reads what an earlier release
// stored. So field numbers, types and the service path never change, removed numbers stay reserved, and a new field has a
// zero value that means what its absence meant before; the package testkit/compatibility/scheduler pins the bytes.
//
// Messages are plain data: a message that has been sent or handed over is not changed by anybody any more.
package protocol
