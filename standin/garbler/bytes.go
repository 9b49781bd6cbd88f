package garbler

// brokenBytes returns answers in whose head there are control bytes outside of names.
func brokenBytes() []Answer {
	return []Answer{
		{"2.2", "carriage return in a value", withLines("X-Other: 1\rX-More: 2\r\n")},
		{"2.2", "carriage return in the reason", "HTTP/1.1 200 O\rK\r\n" + Fields + lengthOf(body) + "\r\n" + body},
		{"4", "control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + Fields + lengthOf(body) + "\r\n" + body},
		{"5", "NUL in a value", withLines("X-Other: 1\x002\r\n")},
		{"5", "control byte in a value", withLines("X-Other: 1\x1b2\r\n")},
		{"5", "DEL in a value", withLines("X-Other: 1\x7f2\r\n")},
		{"5.2", "control byte in a folded line", withLines("X-Other: 1\r\n \x002\r\n")},
	}
}
