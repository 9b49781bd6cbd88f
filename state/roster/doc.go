// Package roster provides immutable values for the platform's VM list and its changes, and for what a daemon knows of
// each endpoint: its row of the list, its last report and its state. Choosing an endpoint is left to the callers.
package roster
