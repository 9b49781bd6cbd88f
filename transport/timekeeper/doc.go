// Package timekeeper reads the VM's boot-time clock, which goes on while the VM is suspended and is never set back.
package timekeeper
