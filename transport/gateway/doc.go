// Package gateway puts an entry on the users' platform together and runs it until it is told to stop;
// it makes no decision of its own.
package gateway
