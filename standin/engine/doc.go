// Package engine provides a fake model engine in front of a simulated rank group whose ranks run in lock-step.
// It streams a draft line by line; the group takes one step for each line.
package engine
