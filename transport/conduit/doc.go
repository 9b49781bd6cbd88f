// Package conduit is the HTTP/1.1 client for runners: it sends each request once, on a new connection, and its errors
// say whether anything of the request was written.
package conduit
