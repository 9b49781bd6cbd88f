package verifier

import (
	"bytes"
	"net/http"
	"sync"

	"github.com/kingcupstile/kingcupstile/protocol/examiner"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// maxHeadBytes limits how much of a head is kept to be checked; heads of runners and of the platform are a few hundred bytes.
const maxHeadBytes = 64 << 10

// headBytes is what most heads fit into.
const headBytes = 512

// stage is how much of an answer has arrived.
type stage string

const (
	// stageUnasked is the time before the first request.
	stageUnasked stage = "unasked"
	// stageHead is the time until the head is whole.
	stageHead stage = "head"
	// stageBody is the time after that, until the next request.
	stageBody stage = "body"
)

// answers checks the answers on a connection, one for each request: their heads, and that nothing follows them.
type answers struct {
	mu    sync.Mutex
	stage stage
	// isOfHead is whether the answer is one to HEAD, which has no body.
	isOfHead bool
	// text is what has arrived of a head, and line where its last line begins.
	text []byte
	line int
	// extent is that of the body.
	extent extent
	err    error
}

// expect takes bytes that are about to be written, and returns why no answer can arrive any more, nil if one can. The next bytes to arrive
// count as the head of an answer if these begin a request: there was none before, or the answer to the last one is whole.
func (a *answers) expect(written []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage == stageUnasked || a.stage == stageBody && a.extent.part == partNone {
		a.stage, a.isOfHead = stageHead, bytes.HasPrefix(written, []byte(http.MethodHead+" "))
	}
	return a.err
}

// scan takes bytes that have arrived. It returns how many of them belong to an answer, and if that is none of them, why.
func (a *answers) scan(arrived []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err != nil {
		return 0, a.err
	}
	taken := 0
	for a.stage == stageHead && taken < len(arrived) && a.err == nil {
		taken += a.takeLine(arrived[taken:])
	}
	if a.err != nil {
		return 0, a.err
	}
	if a.stage == stageBody {
		taken += a.extent.take(arrived[taken:])
	}
	if taken < len(arrived) {
		a.err = fault.Newf("read answer", KindUnasked, "%d bytes that follow no request", len(arrived)-taken)
	}
	if taken == 0 {
		return 0, a.err
	}
	return taken, nil
}

// takeLine returns how many bytes belong to the current line of the head.
func (a *answers) takeLine(arrived []byte) int {
	end := bytes.IndexByte(arrived, '\n') + 1
	isLine := end > 0
	if !isLine {
		end = len(arrived)
	}
	if a.text == nil {
		a.text = make([]byte, 0, headBytes)
	}
	a.text = append(a.text, arrived[:end]...)
	switch {
	case len(a.text) > maxHeadBytes:
		a.err = fault.Newf("read answer", KindTooLarge, "head exceeds the limit of %d bytes", maxHeadBytes)
	case isLine && len(bytes.TrimRight(a.text[a.line:], "\r\n")) == 0:
		a.endHead()
	case isLine:
		a.line = len(a.text)
	}
	return end
}

// endHead checks a whole head; one of an informational answer is followed by another.
func (a *answers) endHead() {
	head, err := examiner.ReadHead(a.text)
	if a.err = err; err == nil && !head.IsInformational() {
		a.stage, a.extent = stageBody, newExtent(head, a.isOfHead)
	}
	a.text, a.line = a.text[:0], 0
}
