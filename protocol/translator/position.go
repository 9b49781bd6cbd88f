package translator

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// MaxPositionBytes is the largest length of an event identifier in bytes.
const MaxPositionBytes = 255

const positionFields = 5

// positionPattern matches identifiers whose endpoint, incarnation and request are not empty and consist of printable
// ASCII characters other than space and "~".
var positionPattern = regexp.MustCompile(`^[!-}]+~[!-}]+~[!-}]+~[0-9]+~[0-9]+$`)

// Position identifies one frame of an answer, so that any entry can resume the answer after it. Its event identifier
// holds the fields in order, separated by "~".
type Position struct {
	Endpoint    string
	Incarnation attempt.Incarnation
	Request     string
	// Number is the attempt's number, from 1.
	Number int
	// Offset is the frame's position in the answer, counted in frames from 0.
	Offset uint64
}

// Prefix returns the event identifier without the offset; all frames of an attempt share it.
func (p Position) Prefix() string {
	return strings.Join([]string{p.Endpoint, string(p.Incarnation), p.Request, strconv.Itoa(p.Number), ""}, "~")
}

// String returns the event identifier.
func (p Position) String() string { return p.Prefix() + strconv.FormatUint(p.Offset, 10) }

// ParsePosition returns the position that an event identifier encodes, or an Error of KindInvalid.
func ParsePosition(id string) (Position, error) {
	fields := strings.Split(id, "~")
	if len(id) > MaxPositionBytes || len(fields) != positionFields || !positionPattern.MatchString(id) {
		return Position{}, fault.Newf("parse position", kingcupstile.KindInvalid, "not an event identifier of this system")
	}
	number, err := strconv.ParseInt(fields[3], 10, 32)
	if err != nil || number < 1 {
		return Position{}, fault.Newf("parse position", kingcupstile.KindInvalid, "attempt %q", fields[3])
	}
	offset, err := strconv.ParseUint(fields[4], 10, 63)
	if err != nil {
		return Position{}, fault.Newf("parse position", kingcupstile.KindInvalid, "offset %q", fields[4])
	}
	return Position{
		Endpoint: fields[0], Incarnation: attempt.Incarnation(fields[1]),
		Request: fields[2], Number: int(number), Offset: offset,
	}, nil
}
