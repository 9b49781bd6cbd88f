package attempt

import "net/http"

// Frame is one piece of an attempt's answer, at its offset.
type Frame struct {
	offset           uint64
	status           int
	header           http.Header
	data             []byte
	last             bool
	outcome          Outcome
	reason           string
	retryAfterMillis int64
}

// FrameOption sets a field of a Frame under construction.
type FrameOption func(*Frame)

// Status makes the frame the head frame, with the answer's HTTP status and headers.
func Status(code int, header http.Header) FrameOption {
	return func(f *Frame) { f.status, f.header = code, header }
}

// Data sets the bytes that the frame carries.
func Data(b []byte) FrameOption { return func(f *Frame) { f.data = b } }

// Last makes the frame the one that ends the answer, with its outcome and the reason if it ends early.
func Last(outcome Outcome, reason string) FrameOption {
	return func(f *Frame) { f.last, f.outcome, f.reason = true, outcome, reason }
}

// RetryAfter sets the time in milliseconds after which a refused request may be sent again.
func RetryAfter(milliseconds int64) FrameOption {
	return func(f *Frame) { f.retryAfterMillis = milliseconds }
}

// NewFrame returns the frame at the given offset.
func NewFrame(offset uint64, options ...FrameOption) Frame {
	f := Frame{offset: offset}
	for _, option := range options {
		option(&f)
	}
	return f
}

// Offset returns the frame's position in the answer, counted in frames from 0.
func (f Frame) Offset() uint64 { return f.offset }

// Status returns the HTTP status of a head frame, and 0 on every other frame.
func (f Frame) Status() int { return f.status }

// Header returns the headers of a head frame, which the caller must not change.
func (f Frame) Header() http.Header { return f.header }

// Data returns the frame's bytes, which the caller must not change.
func (f Frame) Data() []byte { return f.data }

// IsLast reports whether the frame ends the answer.
func (f Frame) IsLast() bool { return f.last }

// Outcome returns the outcome that a last frame carries.
func (f Frame) Outcome() Outcome { return f.outcome }

// Reason returns why the last frame ends the answer early, or an empty string.
func (f Frame) Reason() string { return f.reason }

// RetryAfter returns the time in milliseconds after which a refused request may be sent again, 0 if unknown.
func (f Frame) RetryAfter() int64 { return f.retryAfterMillis }

// WithOffset returns the frame at the given offset, counted in frames from 0.
func (f Frame) WithOffset(offset uint64) Frame {
	f.offset = offset
	return f
}
