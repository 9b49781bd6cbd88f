// Command kingcupstiled is the daemon on entry VMs and on endpoint VMs.
package main
