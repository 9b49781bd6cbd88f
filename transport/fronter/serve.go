package fronter

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/dispatcher"
	"github.com/kingcupstile/kingcupstile/coordination/picker"
	"github.com/kingcupstile/kingcupstile/protocol/explainer"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

var correlationPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// removedHeaders are not passed on, since they concern one connection or this system only.
var removedHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", HeaderResume, HeaderConversation, HeaderTimeout,
}

// serve passes one request to the service that its path names.
func (f *Fronter) serve(c echo.Context) error {
	a, ok, err := f.authorize(c)
	if !ok {
		return err
	}
	if id := c.Request().Header.Get(HeaderResume); id != "" {
		return f.resume(c, a, id)
	}
	if after, within := f.takeToken(c, a); !within {
		return f.refuseOverLimit(c, after)
	}
	body, err := readBody(c, a.service.Timeout())
	if err != nil {
		return f.refuseBody(c, err)
	}
	return f.start(c, a, body)
}

// readBody reads a whole body of at most MaxBodyBytes within the timeout.
func readBody(c echo.Context, timeout time.Duration) ([]byte, error) {
	connection := http.NewResponseController(c.Response().Writer)
	_ = connection.SetReadDeadline(time.Now().Add(timeout))
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	return io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, MaxBodyBytes))
}

// start checks a new request and runs it.
func (f *Fronter) start(c echo.Context, a access, body []byte) error {
	now := time.Now()
	timeout, err := requestTimeout(c.Request().Header, a.service.Timeout())
	if err != nil {
		return f.refuse(c, http.StatusBadRequest, "timeout", err.Error())
	}
	deadline := now.Add(timeout)
	path := servicePath(c)
	key := c.Request().Header.Get(HeaderKey)
	x := f.exchange(c, a)
	identify := func() suspect.Fingerprint {
		return suspect.Identify(a.service.Name(), c.Request().Method, path, body)
	}
	verdict, record := x.checkSuspect(identify)
	if verdict == suspect.VerdictRefused {
		return f.refuseCrashing(c, record)
	}
	header := forwardedHeader(c.Request().Header)
	header.Set(HeaderCorrelation, x.correlation)
	options := []attempt.Option{
		attempt.Service(a.service.Name()),
		attempt.Account(a.grant.Account()),
		attempt.Alone(verdict == suspect.VerdictSuspect),
		attempt.Key(key),
		attempt.Priority(a.grant.Priority()),
		attempt.Repeatable(key == "" && a.service.IsRepeatable(c.Request().Method, path)),
		attempt.Deadline(deadline),
		attempt.MaxQueueWait(a.service.MaxQueueWait()),
		attempt.Expiry(deadline),
		attempt.HTTP(c.Request().Method, path, header, body),
	}
	if a.service.Mode() == catalog.ModeModel {
		conversation := c.Request().Header.Get(HeaderConversation)
		x.affinity = picker.Affinity(a.service.Name(), a.grant.Account(), conversation, body)
	}
	if key != "" {
		ticket, err := f.bind(c.Request().Context(), a, key)
		if err != nil {
			return f.refuseKey(c, err)
		}
		options = append(options, attempt.Expiry(ticket.Expiry()), attempt.To(ticket.Endpoint(), ticket.Incarnation()))
		x.bound = true
	}
	x.attempt = attempt.New(newIdentifier(), options...)
	x.dispatch = dispatcher.New(x.attempt)
	f.retrier.RecordRequest(a.service.Name(), a.service.RetryShare())
	return x.run(dispatcher.Action{Do: dispatcher.DoSend})
}

// resume streams an answer in progress from after the last event that the caller received.
func (f *Fronter) resume(c echo.Context, a access, id string) error {
	position, err := translator.ParsePosition(id)
	if err != nil {
		return f.refuse(c, http.StatusBadRequest, "position", err.Error())
	}
	if !f.isEndpointOf(a, position.Endpoint) {
		return f.refuse(c, http.StatusNotFound, "position", "the event belongs to another service")
	}
	x := f.exchange(c, a)
	x.attempt = attempt.New(position.Request,
		attempt.Number(position.Number),
		attempt.Service(a.service.Name()),
		attempt.Account(a.grant.Account()),
		attempt.Deadline(time.Now().Add(a.service.Timeout())),
		attempt.To(position.Endpoint, position.Incarnation),
	)
	x.bound, x.resumed = true, true
	x.dispatch = dispatcher.New(x.attempt, dispatcher.ResumeFrom(position.Offset+1))
	return x.run(dispatcher.Action{Do: dispatcher.DoResume, Offset: position.Offset + 1})
}

// requestTimeout returns the service's timeout, or the caller's own if that is shorter; a malformed one is an Error of
// KindInvalid.
func requestTimeout(h http.Header, timeout time.Duration) (time.Duration, error) {
	text := h.Get(HeaderTimeout)
	if text == "" {
		return timeout, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || len(h.Values(HeaderTimeout)) > 1 {
		return 0, fault.Newf("read timeout", kingcupstile.KindInvalid, "%s must be one duration over 0, like \"1.5s\"", HeaderTimeout)
	}
	return min(d, timeout), nil
}

// servicePath returns the path and query as the service receives them.
func servicePath(c echo.Context) string {
	path := strings.TrimPrefix(c.Request().URL.EscapedPath(), "/"+c.Param("service"))
	if path == "" {
		path = "/"
	}
	if query := c.Request().URL.RawQuery; query != "" {
		path += "?" + query
	}
	return path
}

// forwardedHeader returns a copy of the headers without removedHeaders and those that Connection names.
func forwardedHeader(h http.Header) http.Header {
	h = h.Clone()
	for _, name := range strings.Split(strings.Join(h.Values("Connection"), ","), ",") {
		h.Del(strings.TrimSpace(name))
	}
	for _, name := range removedHeaders {
		h.Del(name)
	}
	return h
}

// correlationID returns the caller's identifier for the request if it is well formed, and a new one otherwise.
func correlationID(c echo.Context) string {
	if id := c.Request().Header.Get(HeaderCorrelation); correlationPattern.MatchString(id) {
		return id
	}
	return newIdentifier()
}

func problem(status int, outcome attempt.Outcome, reason string) explainer.Problem {
	return explainer.New(status, outcome, reason, details[reason])
}

func retryAfter(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
