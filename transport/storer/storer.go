package storer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/protocol/verifier"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// DefaultTimeout bounds a call, or a watch beyond its wait, unless the option Timeout is given.
const DefaultTimeout = 3 * time.Second

// DefaultWatchWait is how long the platform holds a watch open unless the option WatchWait is given.
const DefaultWatchWait = 20 * time.Second

// maxBody is how much of an answer is read, in bytes; it is above the platform's largest value for the VM list.
const maxBody = 16 << 20

// Storer is the platform's client; it implements the root package's Store and VMLister. Each call has a connection of its own, as a second
// answer that comes late would else be taken for the next one.
type Storer struct {
	base      string
	client    *http.Client
	timeout   time.Duration
	watchWait time.Duration
	// era is the latest era that the platform has told.
	era atomic.Uint64
}

// Option sets a field of a Storer under construction.
type Option func(*Storer)

// Timeout sets how long a call may take; a watch may take that much longer than its wait.
func Timeout(d time.Duration) Option { return func(s *Storer) { s.timeout = d } }

// WatchWait sets how long the platform holds a watch open when nothing changes.
func WatchWait(d time.Duration) Option { return func(s *Storer) { s.watchWait = d } }

// New returns the client of the platform at an IP address and port.
func New(address string, options ...Option) *Storer {
	s := &Storer{
		base:      "http://" + address,
		client:    &http.Client{Transport: verifier.New(&http.Transport{DisableKeepAlives: true})},
		timeout:   DefaultTimeout,
		watchWait: DefaultWatchWait,
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Get returns the stored object, or an Error of KindMissing if there is none.
func (s *Storer) Get(ctx context.Context, kind object.Kind, name string) (object.Object, error) {
	return s.read(ctx, request{op: "get", timeout: s.timeout}, kind, name)
}

// Watch returns the object once its version exceeds after, or an Error of KindMissing if that does not happen in time. The first version
// after a restore of the platform's store exceeds all of before.
func (s *Storer) Watch(ctx context.Context, kind object.Kind, name string, after uint64) (object.Object, error) {
	o, err := s.read(ctx, request{op: "watch", query: s.watchQuery(s.after(after)), timeout: s.watchWait + s.timeout}, kind, name)
	if err == nil && o.Version() <= after {
		return object.Object{}, fault.Newf("watch", kingcupstile.KindMissing, "%s is at version %d, of before a restore", name, o.Version())
	}
	return o, err
}

// watchQuery returns the parameters of a long poll for a version above after; the wait is in milliseconds.
func (s *Storer) watchQuery(after uint64) url.Values {
	return url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {strconv.FormatInt(s.watchWait.Milliseconds(), 10)},
	}
}

func (s *Storer) read(ctx context.Context, r request, kind object.Kind, name string) (object.Object, error) {
	r.method, r.path = http.MethodGet, objectPath(kind, name)
	header, body, err := s.call(ctx, r)
	if err != nil {
		return object.Object{}, err
	}
	return object.New(kind, name, object.Version(s.version(header)), object.Value(body)), nil
}

// Put writes o if the stored version equals its own, 0 for none, and returns it with its new version. It returns an
// Error of KindConflict if the versions differ, or if the store is known to have been restored since o was read, and of KindUncertain if
// the write may have been carried out, or was carried out and the answer is the first one that tells of a restore.
func (s *Storer) Put(ctx context.Context, o object.Object) (object.Object, error) {
	condition := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(plain(o.Version()), 10))}}
	if o.Version() == 0 {
		condition = http.Header{"If-None-Match": {"*"}}
	}
	if o.Version() != 0 && eraOf(o.Version()) < s.era.Load() {
		return object.Object{}, fault.Newf("put", kingcupstile.KindConflict, "%s was read before the store was restored", o.Name())
	}
	header, _, err := s.call(ctx, request{
		op: "put", method: http.MethodPut, path: objectPath(o.Kind(), o.Name()),
		header: condition, body: o.Value(), timeout: s.timeout,
	})
	if err != nil {
		return object.Object{}, err
	}
	next := o.WithVersion(s.version(header))
	if o.Version() != 0 && eraOf(next.Version()) != eraOf(o.Version()) {
		return object.Object{}, fault.Newf("put", kingcupstile.KindUncertain, "the store was restored since %s was read", o.Name())
	}
	return next, nil
}

// VMs returns the VM list once its version exceeds after, or an Error of KindMissing if that does not happen in time.
func (s *Storer) VMs(ctx context.Context, after uint64) (roster.Roster, error) {
	header, body, err := s.call(ctx, request{
		op: "list VMs", method: http.MethodGet, path: "/v1/vms", query: s.watchQuery(s.after(after)), timeout: s.watchWait + s.timeout,
	})
	if err != nil {
		return roster.Roster{}, err
	}
	r, err := translator.DecodeRoster(body)
	if err != nil {
		return roster.Roster{}, err
	}
	r = roster.New(withEra(s.readEra(header), r.Version()), r.VMs()...)
	if r.Version() <= after {
		return roster.Roster{}, fault.Newf("list VMs", kingcupstile.KindMissing, "the list is at version %d, of before a restore", r.Version())
	}
	return r, nil
}

// PutVM adds or replaces a VM in the list of a stand-in for the platform; the real platform maintains its list itself.
func (s *Storer) PutVM(ctx context.Context, v roster.VM) error {
	body, err := translator.EncodeVM(v)
	if err != nil {
		return fault.New("put VM", kingcupstile.KindInvalid, err)
	}
	_, _, err = s.call(ctx, request{
		op: "put VM", method: http.MethodPut, path: "/v1/vms/" + url.PathEscape(v.Name()), body: body, timeout: s.timeout,
	})
	return err
}

func objectPath(kind object.Kind, name string) string {
	return "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// version returns the version in the Etag header with the era of the answer, 0 if it holds none.
func (s *Storer) version(h http.Header) uint64 {
	v, err := strconv.ParseUint(strings.Trim(h.Get("Etag"), `"`), 10, 64)
	if err != nil {
		return 0
	}
	return withEra(s.readEra(h), v)
}

// request is one call to the platform.
type request struct {
	op      string
	method  string
	path    string
	query   url.Values
	header  http.Header
	body    []byte
	timeout time.Duration
}

func (s *Storer) call(ctx context.Context, r request) (http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	target := s.base + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	call, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return nil, nil, fault.New(r.op, kingcupstile.KindInvalid, err)
	}
	for name, values := range r.header {
		call.Header[name] = values
	}
	response, err := s.client.Do(call)
	if err != nil {
		return nil, nil, fault.New(r.op, unansweredKind(r.method, err), err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	if err == nil && len(answer) > maxBody {
		err = errors.Newf("answer exceeds the limit of %d bytes", maxBody)
	}
	if err != nil {
		return nil, nil, fault.New(r.op, unansweredKind(r.method, err), err)
	}
	s.readEra(response.Header)
	if kind := statusKind(r.method, response.StatusCode); kind != "" {
		return nil, nil, fault.Newf(r.op, kind, "%s: platform answered %s", r.path, response.Status)
	}
	return response.Header, answer, nil
}

// unansweredKind returns the error kind of a call without an answer: KindUncertain for a write that may have been sent,
// KindUnavailable for a read or if no connection could be opened.
func unansweredKind(method string, err error) kingcupstile.Kind {
	var dial *net.OpError
	if method == http.MethodGet || (errors.As(err, &dial) && dial.Op == "dial") {
		return kingcupstile.KindUnavailable
	}
	return kingcupstile.KindUncertain
}

// statusKind returns the error kind of an HTTP status, empty for OK: a write that failed with a status of 500 or above,
// save for 503, is uncertain.
func statusKind(method string, status int) kingcupstile.Kind {
	switch {
	case status == http.StatusOK:
		return ""
	case status == http.StatusNotFound, status == http.StatusNotModified:
		return kingcupstile.KindMissing
	case status == http.StatusPreconditionFailed:
		return kingcupstile.KindConflict
	case status == http.StatusTooManyRequests:
		return kingcupstile.KindLimited
	case status == http.StatusServiceUnavailable:
		return kingcupstile.KindUnavailable
	case status >= http.StatusInternalServerError && method != http.MethodGet:
		return kingcupstile.KindUncertain
	case status >= http.StatusInternalServerError:
		return kingcupstile.KindUnavailable
	}
	return kingcupstile.KindInvalid
}
