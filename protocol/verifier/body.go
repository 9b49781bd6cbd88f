package verifier

import (
	"errors"
	"io"
	"net/http"

	"github.com/kingcupstile/kingcupstile/protocol/examiner"
)

// body is the body of an answer that ends with io.EOF only if its trailers are sound, too.
type body struct {
	io.ReadCloser
	answer *http.Response
}

// Trailers has the body of an answer end with an Error of examiner in place of io.EOF if a trailer is none.
func Trailers(answer *http.Response) {
	if len(answer.TransferEncoding) > 0 {
		answer.Body = &body{ReadCloser: answer.Body, answer: answer}
	}
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		// net/http has read the trailers by then.
		if broken := examiner.CheckTrailers(b.answer.Trailer); broken != nil {
			return n, broken
		}
	}
	return n, err
}
