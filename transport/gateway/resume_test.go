package gateway_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/kingcupstile/kingcupstile/standin/garbler"
)

// TestBrokenAnswerResumesNoStream guards against bytes of a second runner that are no answer of HTTP, or none that is whole, and that a
// caller gets as the rest of a stream which the first runner broke off.
func TestBrokenAnswerResumesNoStream(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n" + garbler.Fields
	const inChunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + stream + "\r\n15\r\n"
	begun := inChunks + events(1, 1) + "\r\n"
	d, g := newGarbled(t)
	for name, test := range map[string]struct {
		text    string
		isWhole bool
		want    string
	}{
		"no length, ended in order": {"HTTP/1.1 200 OK\r\n" + stream + "\r\n" + events(2, 2), true, events(1, 2)},
		"blank in a name":           {"HTTP/1.1 200 OK\r\nX Other: 1\r\n" + stream + "\r\n" + events(2, 2), false, events(1, 1)},
		"status that is none":       {"HTTP/1.1 000 \r\n" + stream + "\r\n" + events(2, 2), false, events(1, 1)},
		"length not reached":        {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n" + stream + "\r\n" + events(2, 2), false, events(1, 2)},
		"chunks in HTTP/1.0": {
			"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + stream + "\r\n15\r\n" + events(2, 2) + "\r\n0\r\n\r\n", false, events(1, 1),
		},
		"no last chunk": {inChunks + events(2, 2) + "\r\n", false, events(1, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			g.SetTexts(begun, test.text)
			before := g.Runs()
			a := d.call(http.MethodPost, "/draft/"+strconv.Itoa(before), "", nil)
			if (a.err == nil) != test.isWhole || a.body != test.want || g.Runs() != before+2 {
				t.Errorf("%d attempts, %+v", g.Runs()-before, a)
			}
		})
	}
}
