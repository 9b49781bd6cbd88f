package verifier

import (
	"bytes"
	"strconv"

	"github.com/kingcupstile/kingcupstile/protocol/examiner"
)

// part is what the next bytes of a body are.
type part string

const (
	// partAll is a body without an end but that of the connection, or one that net/http rejects.
	partAll part = ""
	// partData is data, of a chunk or of a body with a length.
	partData part = "data"
	// partSize is the line with the size of a chunk, and partDataEnd the line end after a chunk.
	partSize    part = "size"
	partDataEnd part = "data end"
	// partTrailer is a trailer, or the blank line after the last.
	partTrailer part = "trailer"
	// partNone is what belongs to no body.
	partNone part = "none"
)

// extent follows a body to its end (RFC 9112, section 6.3).
type extent struct {
	part part
	// isChunked is whether the data is that of a chunk.
	isChunked bool
	// left is how much data is left, in bytes.
	left uint64
	// line is the beginning of a line whose end has not arrived.
	line []byte
}

// maxLineBytes limits how much of a line is kept; net/http rejects longer ones in chunks.
const maxLineBytes = 4 << 10

// newExtent returns the extent of the body that follows a head.
func newExtent(head examiner.Head, isOfHead bool) extent {
	switch {
	case isOfHead || !head.HasBody() || head.HasLength && head.Length == 0:
		return extent{part: partNone}
	case head.IsChunked:
		return extent{part: partSize, isChunked: true}
	case head.HasLength:
		return extent{part: partData, left: head.Length}
	}
	return extent{}
}

// take returns how many of the bytes that have arrived belong to the body.
func (e *extent) take(arrived []byte) int {
	taken := 0
	for taken < len(arrived) && e.part != partNone {
		rest := arrived[taken:]
		switch e.part {
		case partAll:
			return len(arrived)
		case partData:
			n := min(uint64(len(rest)), e.left)
			taken, e.left = taken+int(n), e.left-n
			if e.left == 0 {
				e.endData()
			}
		default:
			taken += e.takeLine(rest)
		}
	}
	return taken
}

// endData goes on to what follows data.
func (e *extent) endData() {
	e.part = partNone
	if e.isChunked {
		e.part = partDataEnd
	}
}

// takeLine returns how many bytes belong to the current line, and goes on to what follows if that is all of it.
func (e *extent) takeLine(arrived []byte) int {
	end := bytes.IndexByte(arrived, '\n') + 1
	if end == 0 {
		e.line = append(e.line, arrived...)
		if len(e.line) > maxLineBytes {
			e.part, e.line = partAll, nil
		}
		return len(arrived)
	}
	line := bytes.TrimRight(append(e.line, arrived[:end]...), "\r\n")
	e.line = e.line[:0]
	switch {
	case e.part == partDataEnd:
		e.part = partSize
	case e.part == partSize:
		e.beginChunk(line)
	case len(line) == 0:
		e.part = partNone
	}
	return end
}

// beginChunk goes on to the data of a chunk with a size and its extensions, or to the trailers after the last.
func (e *extent) beginChunk(line []byte) {
	const hexadecimal, bits = 16, 64
	size, _, _ := bytes.Cut(line, []byte(";"))
	left, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), hexadecimal, bits)
	switch {
	case err != nil:
		e.part = partAll
	case left == 0:
		e.part = partTrailer
	default:
		e.part, e.left = partData, left
	}
}
