// Package examples embeds the two users' example files, so that the demo needs no other files.
package examples
