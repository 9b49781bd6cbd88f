package garbler

// brokenNames returns answers in whose head the name of a field is none.
func brokenNames() []Answer {
	return []Answer{
		{"5.1", "blank before the colon", withLines("X-Other : 1\r\n")},
		{"5.1", "blank before the colon of the length", statusLine + Fields + "Content-Length : 4\r\n\r\n" + body},
		{"5.1", "blank before the colon of the coding", statusLine + Fields + "Transfer-Encoding : chunked\r\n\r\n" + chunk + lastChunk},
		{"5.1", "tab before the colon", withLines("X-Other\t: 1\r\n")},
		{"5", "blank in a name", withLines("X Other: 1\r\n")},
		{"5", "control byte in a name", withLines("X-\x01Other: 1\r\n")},
		{"5", "NUL in a name", withLines("X-Other\x00: 1\r\n")},
		{"5", "carriage return in a name", withLines("X-\rOther: 1\r\n")},
		{"5", "delimiter in a name", withLines("X-(Other): 1\r\n")},
		{"5", "byte above 127 in a name", withLines("X-\xd6ther: 1\r\n")},
		{"5", "no name", withLines(": 1\r\n")},
		{"5", "no colon", withLines("X-Other\r\n")},
		{"2.2", "blank before the first field", statusLine + " X-Other: 1\r\n" + Fields + lengthOf(body) + "\r\n" + body},
	}
}
