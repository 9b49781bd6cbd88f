// Package detector detects that a runner has attempts in progress but no longer makes progress with them. Callers
// decide what follows from that.
package detector
