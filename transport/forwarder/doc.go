// Package forwarder is the HTTP handler for callers: it forwards each request to a runner and writes the runner's
// answer back. Package dispatcher decides on retries. A truncated answer never looks complete to the caller: the
// connection is closed instead.
package forwarder
