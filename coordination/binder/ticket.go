package binder

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies why a key is not a valid ticket.
type Kind string

// The kinds of failure.
const (
	// KindMalformed is the kind of a key that does not have the form of a ticket.
	KindMalformed Kind = "malformed"
	// KindExpired is the kind of a ticket whose expiry has passed.
	KindExpired Kind = "expired"
	// KindDistant is the kind of a ticket whose expiry lies more than MaxLifetime and an hour ahead.
	KindDistant Kind = "distant"
)

// Error reports that a key is not a valid ticket.
type Error = fault.Error[Kind]

// MaxLifetime is the longest time from the creation of a ticket to its expiry.
const MaxLifetime = 24 * time.Hour

// MaxKeyLength is the maximum length of an idempotency key in bytes.
const MaxKeyLength = 255

const (
	prefix     = "kt1"
	fieldCount = 5
)

// ticketPattern matches keys that have all fields of a ticket, none of them empty and each of printable ASCII
// characters.
var ticketPattern = regexp.MustCompile(`^` + prefix + `~[!-}]+~[!-}]+~[0-9a-z]+~[!-}]+$`)

// Ticket is an idempotency key that names the endpoint incarnation that may run its request.
type Ticket struct {
	endpoint    string
	incarnation attempt.Incarnation
	expiry      time.Time
	nonce       string
}

// New returns a ticket for an endpoint's incarnation; the nonce makes it unique.
func New(endpoint string, incarnation attempt.Incarnation, expiry time.Time, nonce string) Ticket {
	return Ticket{endpoint: endpoint, incarnation: incarnation, expiry: expiry, nonce: nonce}
}

// Endpoint returns the name of the endpoint that may run the ticket's request.
func (t Ticket) Endpoint() string { return t.endpoint }

// Incarnation returns the incarnation that may run the ticket's request.
func (t Ticket) Incarnation() attempt.Incarnation { return t.incarnation }

// Expiry returns the time after which the ticket is refused.
func (t Ticket) Expiry() time.Time { return t.expiry }

// Key returns the ticket encoded as an idempotency key; the expiry is encoded in whole seconds.
func (t Ticket) Key() string {
	seconds := strconv.FormatInt(t.expiry.Unix(), 36)
	return strings.Join([]string{prefix, t.endpoint, string(t.incarnation), seconds, t.nonce}, "~")
}

// IsTicket reports whether a key starts like a ticket; it may still be malformed.
func IsTicket(key string) bool { return strings.HasPrefix(key, prefix+"~") }

// Parse returns the ticket that a key encodes, or an Error of KindMalformed, KindExpired or KindDistant.
func Parse(key string, now time.Time) (Ticket, error) {
	fields := strings.Split(key, "~")
	if len(key) > MaxKeyLength || len(fields) != fieldCount || !ticketPattern.MatchString(key) {
		return Ticket{}, fault.Newf("parse ticket", KindMalformed, "key is not a ticket")
	}
	seconds, err := strconv.ParseInt(fields[3], 36, 64)
	if err != nil {
		return Ticket{}, fault.Newf("parse ticket", KindMalformed, "expiry %q", fields[3])
	}
	t := New(fields[1], attempt.Incarnation(fields[2]), time.Unix(seconds, 0), fields[4])
	if !t.expiry.After(now) {
		return Ticket{}, fault.Newf("parse ticket", KindExpired, "at %s", t.expiry.UTC().Format(time.RFC3339))
	}
	if t.expiry.After(now.Add(MaxLifetime + time.Hour)) {
		return Ticket{}, fault.Newf("parse ticket", KindDistant, "at %s", t.expiry.UTC().Format(time.RFC3339))
	}
	return t, nil
}
