// Package dialer connects entries to endpoint processes: streams of frames over HTTP and calls over twirp.
// It reports failures by kind; the coordination layer decides what they mean for a request.
package dialer
