// Package prober is the client and server of load probes between entries and the processes beside runners, as UDP
// datagrams that may be lost. A probe that is not answered says nothing about its runner.
package prober
