// Package pacer limits how many requests of a service an entry has open at once, so that streams keep their pace:
// all streams of a rank group advance together, and their common pause tells how many of them there may be.
package pacer
