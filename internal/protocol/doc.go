// Package protocol holds the messages between the processes of the cluster scheduler and the bodies of its
// records on disk. All but this file is generated from protocol.proto; see generate.sh.
package protocol
