package garbler

// BrokenEmpty returns answers that are none, or that are not whole, and that would be an empty message of protobuf if they were.
func BrokenEmpty() []Answer {
	const kind, none = "Content-Type: application/protobuf\r\n", "Content-Length: 0\r\n"
	return []Answer{
		{"2.2", "carriage return in the reason", "HTTP/1.1 200 O\rK\r\n" + kind + none + "\r\n"},
		{"2.3", "another version", "HTTP/2.0 200 OK\r\n" + kind + none + "\r\n"},
		{"5", "blank in a name", statusLine + kind + "X Other: 1\r\n" + none + "\r\n"},
		{"5.1", "blank before the colon of the length", statusLine + kind + "Content-Length : 9\r\n\r\n"},
		{"6.1", "chunks in HTTP/1.0", oldLine + kind + coding + "\r\n"},
		{"6.3", "chunks and a length", statusLine + kind + coding + none + "\r\n" + lastChunk},
		{"7.1.2", "blank in the name of a trailer", statusLine + kind + coding + "\r\n0\r\nX Other: 1\r\n\r\n"},
		{"8", "head without its end", statusLine + kind},
		{"8", "nothing of its length", statusLine + kind + "Content-Length: 9\r\n\r\n"},
		{"8", "no chunk at all", statusLine + kind + coding + "\r\n"},
	}
}
