package suspect

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Fingerprint identifies a request by its content: service, method, path and body.
type Fingerprint string

// fingerprintSize is the length in bytes to which the hash is cut.
const fingerprintSize = 16

// Identify returns the fingerprint of a request, a truncated SHA-256 in hexadecimal.
func Identify(service, method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{service, method, path} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintSize]))
}

// Verdict says how a request may be executed.
type Verdict string

// The verdicts: a clear request runs as usual, a suspect runs alone on an endpoint, and a refused one does not run.
const (
	VerdictClear   Verdict = "clear"
	VerdictSuspect Verdict = "suspect"
	VerdictRefused Verdict = "refused"
)

// SuspectPeriod is how long after a crash a request is a suspect, unless it is cleared before.
const SuspectPeriod = time.Hour

// RefusalPeriod is how long a request is refused after an endpoint crashed while it ran the request alone.
const RefusalPeriod = 24 * time.Hour

// Record is the crash history of one fingerprint. Its times only increase, so that records merge in any order.
type Record struct {
	fingerprint  Fingerprint
	service      string
	crashed      time.Time
	cleared      time.Time
	crashedAlone time.Time
}

// RecordOption sets a field of a Record under construction.
type RecordOption func(*Record)

// Service sets the service that the request was for.
func Service(name string) RecordOption { return func(r *Record) { r.service = name } }

// Crashed sets when an endpoint last crashed while the request ran beside others.
func Crashed(at time.Time) RecordOption { return func(r *Record) { r.crashed = at } }

// Cleared sets when the request last ran to completion alone.
func Cleared(at time.Time) RecordOption { return func(r *Record) { r.cleared = at } }

// CrashedAlone sets when an endpoint last crashed while the request ran alone.
func CrashedAlone(at time.Time) RecordOption { return func(r *Record) { r.crashedAlone = at } }

// NewRecord returns the record of a fingerprint, with no crash unless an option sets one.
func NewRecord(f Fingerprint, options ...RecordOption) Record {
	r := Record{fingerprint: f}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Fingerprint returns the request's fingerprint.
func (r Record) Fingerprint() Fingerprint { return r.fingerprint }

// Service returns the service that the request was for.
func (r Record) Service() string { return r.service }

// Crashed returns when an endpoint last crashed while the request ran beside others.
func (r Record) Crashed() time.Time { return r.crashed }

// Cleared returns when the request last ran to completion alone.
func (r Record) Cleared() time.Time { return r.cleared }

// CrashedAlone returns when an endpoint last crashed while the request ran alone.
func (r Record) CrashedAlone() time.Time { return r.crashedAlone }

// Verdict returns how the request may be executed at a time.
func (r Record) Verdict(now time.Time) Verdict {
	switch {
	case now.Before(r.crashedAlone.Add(RefusalPeriod)):
		return VerdictRefused
	case r.crashed.After(r.cleared) && now.Before(r.crashed.Add(SuspectPeriod)):
		return VerdictSuspect
	}
	return VerdictClear
}

// Expiry returns when the record no longer affects the verdict and may be dropped.
func (r Record) Expiry() time.Time {
	return latest(r.crashed.Add(SuspectPeriod), r.crashedAlone.Add(RefusalPeriod))
}

// WithCrash returns the record after an endpoint crashed while the request ran, alone or beside others.
func (r Record) WithCrash(at time.Time, alone bool) Record {
	if alone {
		r.crashedAlone = latest(r.crashedAlone, at)
		return r
	}
	r.crashed = latest(r.crashed, at)
	return r
}

// WithCleared returns the record after the request ran to completion alone; the time is never before the last crash.
func (r Record) WithCleared(at time.Time) Record {
	r.cleared = latest(r.cleared, at, r.crashed)
	return r
}

// WithMerged returns the record merged with another one of the same fingerprint.
func (r Record) WithMerged(other Record) Record {
	r.crashed = latest(r.crashed, other.crashed)
	r.cleared = latest(r.cleared, other.cleared)
	r.crashedAlone = latest(r.crashedAlone, other.crashedAlone)
	if r.service == "" {
		r.service = other.service
	}
	return r
}

func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
