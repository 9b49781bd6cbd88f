package normalizer

import (
	"bytes"
	"math"
	"strconv"
)

const (
	// maxExact is the number up to which a float64 holds every whole number.
	maxExact = 1 << 53
	decimal  = 10
	bitSize  = 64
)

// Integer returns the digits of a JSON number if it is whole, and false if it is not, or is too large to be told exactly.
func Integer(number []byte) ([]byte, bool) {
	if isPlain(number) {
		return number, true
	}
	value, err := strconv.ParseFloat(string(number), bitSize)
	if err != nil || value != math.Trunc(value) || math.Abs(value) > maxExact {
		return nil, false
	}
	return strconv.AppendInt(nil, int64(value), decimal), true
}

// Integers returns JSON text with all numbers that Integer takes as their digits, and everything else as it is.
func Integers(text []byte) []byte {
	out := make([]byte, 0, len(text))
	for at := 0; at < len(text); {
		end := at + 1
		switch b := text[at]; {
		case b == '"':
			end = skipString(text, at)
		case b == '-' || isDigit(b):
			for end < len(text) && isInNumber(text[end]) {
				end++
			}
			if digits, isWhole := Integer(text[at:end]); isWhole {
				out = append(out, digits...)
				at = end
				continue
			}
		}
		out = append(out, text[at:end]...)
		at = end
	}
	return out
}

// isPlain reports whether a number has neither a fraction nor an exponent.
func isPlain(number []byte) bool { return !bytes.ContainsAny(number, ".eE") }

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func isInNumber(b byte) bool {
	return isDigit(b) || b == '.' || b == 'e' || b == 'E' || b == '+' || b == '-'
}

// skipString returns the offset after the string at an offset, or the length of the text if it does not end.
func skipString(text []byte, at int) int {
	for at++; at < len(text); at++ {
		switch text[at] {
		case '\\':
			at++
		case '"':
			return at + 1
		}
	}
	return len(text)
}
