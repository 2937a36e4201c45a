// Package cli is the command line of frosttide-control, which its main function calls.
//
// Without arguments, or with serve, the program is a member of the control plane (package server). Its other
// commands ask a running system through the operator's API (package apiclient), check files, move a member's state
// to and from snapshot files, or play a demonstration on loopback.
//
// Every command writes its result to standard output and its mistakes, one line each, to standard error. The exit
// status is ExitOK, ExitFailed or ExitUsage. Operators' scripts rely on these, on the JSON of --json, and on the columns
// of the tables.
package cli
