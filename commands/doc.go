// Package commands defines the command lines of the operators' client and of the daemon. It parses arguments, calls the
// packages that do the work and prints their results; most commands have a file of their own.
package commands
