// Package decayer computes how much of a count is left after a time in which it loses half of itself again and again.
package decayer
