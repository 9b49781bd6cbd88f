package history

import (
	"bufio"
	"bytes"

	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// ReadFunc reads one frame from a stream and returns an error if it does not belong to the attempt with the identifier.
type ReadFunc func(stream []byte, id string) (attempt.Frame, error)

func readFrame(stream []byte, id string) (attempt.Frame, error) {
	m, err := messenger.ReadFrame(bufio.NewReader(bytes.NewReader(stream)), id)
	if err != nil {
		return attempt.Frame{}, err
	}
	return messenger.DecodeFrame(m), nil
}

// message is a message in flight between an entry and an endpoint.
type message interface{ arrive(w *simulation) }

// endpointRequest asks an endpoint to run, resume or settle an attempt; offset is the first frame wanted on a resume.
type endpointRequest struct {
	from         *session
	endpoint     int
	attempt      attempt.Attempt
	kind         requestKind
	offset       uint64
	settleNumber int
}

type requestKind string

const (
	requestRun    requestKind = "run"
	requestResume requestKind = "resume"
	requestSettle requestKind = "settle"
)

// frameMessage carries an encoded frame to an entry.
type frameMessage struct {
	to     *session
	stream []byte
}

// settleReply carries the reply to a settle request to an entry.
type settleReply struct {
	to           *session
	settleNumber int
	outcome      attempt.Outcome
}

func (m endpointRequest) arrive(w *simulation) { w.endpoints[m.endpoint].receive(m) }

func (m frameMessage) arrive(w *simulation) {
	to := m.to
	if w.inject(FaultMisroutedFrame, oddsOften) {
		to = w.sessions[w.rng.IntN(len(w.sessions))]
	}
	to.receive(m.stream)
}

func (m settleReply) arrive(*simulation) { m.to.receiveSettle(m) }

func (w *simulation) send(m message) { w.inFlight = append(w.inFlight, m) }

// deliver picks a message in flight at random and delivers it, loses it, or delivers it and leaves a copy in flight.
func (w *simulation) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.rng.IntN(len(w.inFlight))
	m := w.inFlight[i]
	switch {
	case w.inject(FaultLostMessage, oddsOften):
		w.remove(i)
	case w.inject(FaultDuplicateMessage, oddsOften):
		m.arrive(w)
	default:
		w.remove(i)
		m.arrive(w)
	}
}

func (w *simulation) remove(i int) {
	last := len(w.inFlight) - 1
	w.inFlight[i] = w.inFlight[last]
	w.inFlight = w.inFlight[:last]
}

func encode(id string, f attempt.Frame) []byte {
	var b bytes.Buffer
	_ = messenger.Write(&b, messenger.EncodeFrame(id, f))
	return b.Bytes()
}
