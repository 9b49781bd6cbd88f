// Package answerer is the HTTP server of an endpoint process for entries: it runs attempts on the engine and streams
// their answers. Only attempts that the keeper admits, on the control goroutine, are started.
package answerer
