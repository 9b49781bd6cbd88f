package garbler

import (
	"slices"
	"strconv"
)

// Answer is the text of an answer to a request, for the option Text.
type Answer struct {
	// Section is the one of RFC 9112 that tells whether the text is a whole answer.
	Section string
	Name    string
	Text    string
}

// String returns the section and the name.
func (a Answer) String() string { return a.Section + " " + a.Name }

const (
	statusLine = "HTTP/1.1 200 OK\r\n"
	oldLine    = "HTTP/1.0 200 OK\r\n"
	coding     = "Transfer-Encoding: chunked\r\n"
	// chunk is the whole body as one chunk, and lastChunk ends a body in chunks that has no trailers.
	chunk     = "17\r\n" + body + "\r\n"
	lastChunk = "0\r\n\r\n"
)

// lengthOf returns the field line with the length of a text.
func lengthOf(text string) string { return "Content-Length: " + strconv.Itoa(len(text)) + "\r\n" }

// withLines returns an answer with some more field lines and the whole body.
func withLines(lines string) string {
	return statusLine + Fields + lines + lengthOf(body) + "\r\n" + body
}

// Broken returns answers that are none, or that are not whole. Each would be a valid listing of the store if it were one.
func Broken() []Answer {
	return slices.Concat(brokenNames(), brokenBytes(), brokenFramings(), brokenTrailers(), brokenEnds())
}

// Sound returns whole answers that are written in other ways than most servers write them.
func Sound() []Answer {
	return []Answer{
		{"2.2", "lines that end with a line feed", "HTTP/1.1 200 OK\n" + Fields + "Content-Length: 23\n\n" + body},
		{"4", "no reason", "HTTP/1.1 200 \r\n" + Fields + lengthOf(body) + "\r\n" + body},
		{"5.1", "no blank after the colon, blanks after the value", withLines("X-Other:1 \t\r\n")},
		{"5.1", "no value", withLines("X-Other:\r\n")},
		{"5.2", "folded line", withLines("X-Other: 1,\r\n 2\r\n")},
		{"5", "bytes above 127 and a tab in a value", withLines("X-Other: \xd6l\tand more\r\n")},
		{"6.3", "no length", statusLine + Fields + "\r\n" + body},
		{"6.3", "no length, HTTP/1.0", oldLine + Fields + "\r\n" + body},
		{"6.3", "the same length twice", withLines(lengthOf(body))},
		{"7.1", "chunks", statusLine + Fields + coding + "\r\n" + chunk + lastChunk},
		{"7.1", "small chunks", statusLine + Fields + coding + "\r\n" + "1\r\n" + body[:1] + "\r\n016\r\n" + body[1:] + "\r\n" + lastChunk},
		{"7.1.1", "chunk extension", statusLine + Fields + coding + "\r\n17;a=b\r\n" + body + "\r\n" + lastChunk},
		{"7.1.2", "trailers", statusLine + Fields + coding + "\r\n" + chunk + "0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n"},
	}
}
