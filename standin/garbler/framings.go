package garbler

// brokenFramings returns answers whose head does not tell where their body ends, or tells it twice.
func brokenFramings() []Answer {
	return []Answer{
		{"6.1", "chunks in HTTP/1.0", oldLine + Fields + coding + "\r\n" + chunk + lastChunk},
		{"6.1", "chunks and a length in HTTP/1.0", oldLine + Fields + coding + lengthOf(body) + "\r\n" + body},
		{"6.1", "another coding", statusLine + Fields + "Transfer-Encoding: gzip\r\n\r\n" + body},
		{"6.1", "another coding before chunks", statusLine + Fields + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunk + lastChunk},
		{"6.1", "another coding after chunks", statusLine + Fields + "Transfer-Encoding: chunked, gzip\r\n\r\n" + chunk + lastChunk},
		{"6.1", "chunks twice", statusLine + Fields + coding + coding + "\r\n" + chunk + lastChunk},
		{"6.1", "no coding", statusLine + Fields + "Transfer-Encoding:\r\n\r\n" + body},
		{"6.3", "chunks and a length", statusLine + Fields + coding + lengthOf(body) + "\r\n" + chunk + lastChunk},
		{"6.3", "a length before chunks", statusLine + Fields + "Content-Length: 4\r\n" + coding + "\r\n" + chunk + lastChunk},
		{"6.3", "two lengths", withLines("Content-Length: 4\r\n")},
		{"6.3", "two lengths in one line", statusLine + Fields + "Content-Length: 23, 4\r\n\r\n" + body},
		{"6.3", "length that is no number", statusLine + Fields + "Content-Length: many\r\n\r\n" + body},
		{"6.3", "length with a sign", statusLine + Fields + "Content-Length: +23\r\n\r\n" + body},
		{"6.3", "length below 0", statusLine + Fields + "Content-Length: -1\r\n\r\n" + body},
		{"6.3", "length with more after it", statusLine + Fields + "Content-Length: 23 4\r\n\r\n" + body},
		{"6.3", "length above all numbers", statusLine + Fields + "Content-Length: 18446744073709551639\r\n\r\n" + body},
		{"6.3", "no number", statusLine + Fields + "Content-Length:\r\n\r\n" + body},
	}
}
