// Command kit runs the scripted cases of the review. It starts the project's own entries as separate processes, with a
// store, runners and clients of its own that follow the users' pages, all on loopback addresses.
package main
