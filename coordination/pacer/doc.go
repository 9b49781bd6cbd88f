// Package pacer limits how many requests of a service an entry has open at once, so that the gaps between the events of
// its streams stay in bounds. All streams of a rank group advance together, so that their mean gap measures the group's
// load; the limit adapts to it.
package pacer
