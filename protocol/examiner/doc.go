// Package examiner tells answers of HTTP/1 from bytes that only parse as one, so that nobody takes these for what a server said.
package examiner
