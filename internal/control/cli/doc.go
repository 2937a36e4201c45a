// Package cli implements the command line of frosttide-control. The program's main function calls
// Main.
//
// Without arguments, or with the command serve, the program runs a member of the control plane
// (package server). Its other commands query or change a running system through the operator's API
// (package apiclient), check files, save and restore a member's state as snapshot files, or run a
// demonstration on the loopback interface.
//
// Every command writes its result to standard output and its errors, one line each, to standard
// error. The exit status is ExitOK, ExitFailed or ExitUsage. Operators' scripts rely on the exit
// status, on the output of --json and on the columns of the tables.
package cli
