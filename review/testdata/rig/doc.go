// Command rig plays the cases of the review. Each case starts the programs of the deploy file as separate processes on
// loopback, plays the clients, the operator and the runners as PROTOCOL.md describes them, and judges by what these have
// seen on their sockets.
//
// It is called by the run.sh of a case: rig CASE RECORD. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case couldn't run. With TROUBLE=0 in the environment the case does the same without its disruption.
package main
