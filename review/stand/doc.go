//go:build review

// Command stand runs one case of the second review: it starts the project's daemons as separate processes, beside stand-ins of the
// platform, the model runners and the clients that follow the users' pages, and checks one rule from what these see.
package main
