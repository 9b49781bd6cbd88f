package garbler

// brokenEnds returns answers that the connection ends before they are whole, or whose chunks are none.
func brokenEnds() []Answer {
	inChunks := func(text string) string { return statusLine + Fields + coding + "\r\n" + text }
	return []Answer{
		{"7.1", "chunk without a size", inChunks("\r\n" + body + "\r\n" + lastChunk)},
		{"7.1", "size that is no number", inChunks("many\r\n" + body + "\r\n" + lastChunk)},
		{"7.1", "size with a sign", inChunks("+17\r\n" + body + "\r\n" + lastChunk)},
		{"7.1", "size above all numbers", inChunks("10000000000000017\r\n" + body + "\r\n" + lastChunk)},
		{"7.1", "chunk longer than its size", inChunks("4\r\n" + body + "\r\n" + lastChunk)},
		{"7.1", "chunk shorter than its size", inChunks("18\r\n" + body + "\r\n" + lastChunk)},
		{"7.1", "no chunks", inChunks(body)},
		{"8", "half a status line", "HTTP/1.1 200"},
		{"8", "half a head", statusLine + Fields + "X-Other: 1"},
		{"8", "head without its end", statusLine + Fields},
		{"8", "less than its length", statusLine + Fields + lengthOf(body+" ") + "\r\n" + body},
		{"8", "nothing of its length", statusLine + Fields + lengthOf(body) + "\r\n"},
		{"8", "no chunk at all", inChunks("")},
		{"8", "no last chunk", inChunks(chunk)},
		{"8", "half a last chunk", inChunks(chunk + "0\r\n")},
		{"8", "half a trailer", inChunks(chunk + "0\r\nX-Other: 1\r\n")},
	}
}
