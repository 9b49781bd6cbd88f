package garbler

// brokenTrailers returns answers in whose trailers a field is none.
func brokenTrailers() []Answer {
	inTrailers := func(line string) string {
		return statusLine + Fields + coding + "\r\n" + chunk + "0\r\n" + line + "\r\n\r\n"
	}
	return []Answer{
		{"7.1.2", "blank in the name of a trailer", inTrailers("X Other: 1")},
		{"7.1.2", "blank before the colon of a trailer", inTrailers("X-Other : 1")},
		{"7.1.2", "control byte in the name of a trailer", inTrailers("X-\x01Other: 1")},
		{"7.1.2", "control byte in the value of a trailer", inTrailers("X-Other: 1\x002")},
		{"7.1.2", "trailer without a colon", inTrailers("X-Other")},
	}
}
