package parser

import (
	"fmt"
	"strings"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies a mistake in a file.
type Kind string

// The kinds of mistake.
const (
	KindSyntax     Kind = "syntax"
	KindUnknownKey Kind = "unknown-key"
	KindMissingKey Kind = "missing-key"
	KindWrongType  Kind = "wrong-type"
	KindWrongValue Kind = "wrong-value"
	KindDuplicate  Kind = "twice"
	KindUnreadable Kind = "unreadable"
)

// Error reports a file that was rejected. Its cause is a MistakeErrors, unless the file's name has an unknown suffix or
// two files describe the same service or account.
type Error = fault.Error[Kind]

// Mistake is one fault in a file, at a position that counts lines and columns from 1.
type Mistake struct {
	File   string
	Line   int
	Column int
	// Key is empty if the mistake is not in the value of a key.
	Key  string
	Kind Kind
	// Want describes what would be accepted, or a syntax error.
	Want string
}

// String returns the mistake as file:line:column: key: kind; want.
func (m Mistake) String() string {
	text := fmt.Sprintf("%s:%d:%d: ", m.File, m.Line, m.Column)
	if m.Key != "" {
		text += fmt.Sprintf("%q: ", m.Key)
	}
	return text + strings.ReplaceAll(string(m.Kind), "-", " ") + "; " + m.Want
}

// MistakeErrors lists the mistakes in a file in order of position.
type MistakeErrors []Mistake

// Error returns the mistakes, one per line.
func (ms MistakeErrors) Error() string {
	lines := make([]string, len(ms))
	for i, m := range ms {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}
