package fault

import "github.com/cockroachdb/errors"

// Error is a failed operation with a kind that callers switch on and a cause, which may be nil.
type Error[K ~string] struct {
	Op   string
	Kind K
	Err  error
}

// New returns an Error for op of the given kind caused by err, which may be nil.
func New[K ~string](op string, kind K, err error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: err}
}

// Newf returns an Error for op of the given kind whose cause is the formatted message.
func Newf[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return New(op, kind, errors.Newf(format, args...))
}

// Error returns the operation, the kind and the cause on one line.
func (e *Error[K]) Error() string {
	text := e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error[K] in err's chain, or an empty kind.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
