// Package reserver counts the open requests of one runner between two of its reports: those of the last report, and those
// that entries announced too late to be in it. It performs no I/O.
package reserver
