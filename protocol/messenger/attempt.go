package messenger

import (
	"net/http"
	"time"

	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// EncodeAttempt returns the message for an attempt, request headers and body included.
func EncodeAttempt(a attempt.Attempt) *wire.Attempt {
	return &wire.Attempt{
		Request:     a.Request(),
		Number:      int32(a.Number()),
		Service:     a.Service(),
		Account:     a.Account(),
		Key:         a.Key(),
		Endpoint:    a.Endpoint(),
		Incarnation: string(a.Incarnation()),
		Repeatable:  a.IsRepeatable(),
		Priority:    int32(a.Priority()),
		Expiry:      a.Expiry().UnixNano(),
		Deadline:    a.Deadline().UnixNano(),
		Wait:        int64(a.MaxQueueWait()),
		Alone:       a.IsAlone(),
		Method:      a.Method(),
		Path:        a.Path(),
		Headers:     encodeHeader(a.Header()),
		Body:        a.Body(),
	}
}

// EncodeAttemptMetadata returns the message for an attempt without the request's headers and body.
func EncodeAttemptMetadata(a attempt.Attempt) *wire.Attempt {
	m := EncodeAttempt(a)
	m.Headers, m.Body = nil, nil
	return m
}

// DecodeAttempt returns the attempt in a message.
func DecodeAttempt(m *wire.Attempt) attempt.Attempt {
	return attempt.New(m.GetRequest(),
		attempt.Number(int(m.GetNumber())),
		attempt.Service(m.GetService()),
		attempt.Account(m.GetAccount()),
		attempt.Key(m.GetKey()),
		attempt.To(m.GetEndpoint(), attempt.Incarnation(m.GetIncarnation())),
		attempt.Repeatable(m.GetRepeatable()),
		attempt.Priority(int(m.GetPriority())),
		attempt.Expiry(time.Unix(0, m.GetExpiry())),
		attempt.Deadline(time.Unix(0, m.GetDeadline())),
		attempt.MaxQueueWait(time.Duration(m.GetWait())),
		attempt.Alone(m.GetAlone()),
		attempt.HTTP(m.GetMethod(), m.GetPath(), decodeHeader(m.GetHeaders()), m.GetBody()),
	)
}

// EncodeFrame returns the message for a frame of the attempt with an identifier.
func EncodeFrame(id string, f attempt.Frame) *wire.Frame {
	return &wire.Frame{
		Attempt: id,
		Offset:  f.Offset(),
		Status:  int32(f.Status()),
		Headers: encodeHeader(f.Header()),
		Data:    f.Data(),
		Last:    f.IsLast(),
		Outcome: string(f.Outcome()),
		Reason:  f.Reason(),
		After:   f.RetryAfter(),
	}
}

// DecodeFrame returns the frame in a message.
func DecodeFrame(m *wire.Frame) attempt.Frame {
	options := make([]attempt.FrameOption, 0, 4)
	if m.GetStatus() != 0 {
		options = append(options, attempt.Status(int(m.GetStatus()), decodeHeader(m.GetHeaders())))
	}
	if len(m.GetData()) > 0 {
		options = append(options, attempt.Data(m.GetData()))
	}
	if m.GetLast() {
		options = append(options, attempt.Last(attempt.Outcome(m.GetOutcome()), m.GetReason()), attempt.RetryAfter(m.GetAfter()))
	}
	return attempt.NewFrame(m.GetOffset(), options...)
}

func encodeHeader(h http.Header) []*wire.Header {
	headers := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		headers = append(headers, &wire.Header{Name: name, Values: values})
	}
	return headers
}

func decodeHeader(headers []*wire.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, header := range headers {
		h[header.GetName()] = header.GetValues()
	}
	return h
}
