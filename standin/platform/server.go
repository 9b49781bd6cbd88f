package platform

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// MaxWait is the longest time that a long poll is held open, whatever the request asks for.
const MaxWait = 30 * time.Second

// headerEra is the header in which answers say the store's era, once it was restored.
const headerEra = "Era"

// Handler serves a store over HTTP; a GET of the VM list, or of an object with the query
// parameter after, is a long poll of up to wait milliseconds.
func Handler(s *Store) http.Handler {
	e := echo.New()
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			c.Response().Before(func() {
				if era := s.Era(); era > 0 {
					c.Response().Header().Set(headerEra, strconv.FormatUint(era, 10))
				}
			})
			return next(c)
		}
	})
	e.GET("/v1/objects/:kind/:name", func(c echo.Context) error { return getObject(c, s) })
	e.PUT("/v1/objects/:kind/:name", func(c echo.Context) error { return putObject(c, s) })
	e.GET("/v1/vms", func(c echo.Context) error { return getVMs(c, s) })
	e.PUT("/v1/vms/:name", func(c echo.Context) error { return putVM(c, s) })
	return e
}

func getObject(c echo.Context, s *Store) error {
	kind, name := object.Kind(c.Param("kind")), c.Param("name")
	if c.QueryParam("after") == "" {
		o, err := s.Get(c.Request().Context(), kind, name)
		return sendObject(c, o, err)
	}
	ctx, cancel, after := watchContext(c)
	defer cancel()
	o, err := s.Watch(ctx, kind, name, after)
	return sendObject(c, o, err)
}

// watchContext returns a context that ends when the long poll times out, and the version after which to answer.
func watchContext(c echo.Context) (context.Context, context.CancelFunc, uint64) {
	after, _ := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	milliseconds, _ := strconv.ParseInt(c.QueryParam("wait"), 10, 64)
	d := min(time.Duration(milliseconds)*time.Millisecond, MaxWait)
	ctx, cancel := context.WithTimeout(c.Request().Context(), d)
	return ctx, cancel, after
}

func sendObject(c echo.Context, o object.Object, err error) error {
	if err != nil {
		return c.NoContent(status(err))
	}
	c.Response().Header().Set("Etag", strconv.Quote(strconv.FormatUint(o.Version(), 10)))
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, o.Value())
}

func putObject(c echo.Context, s *Store) error {
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, object.MaxValueBytes+1))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	version, err := strconv.ParseUint(strings.Trim(c.Request().Header.Get("If-Match"), `"`), 10, 64)
	if err != nil && c.Request().Header.Get("If-None-Match") != "*" {
		return c.NoContent(http.StatusPreconditionRequired)
	}
	wanted := object.New(object.Kind(c.Param("kind")), c.Param("name"), object.Version(version), object.Value(value))
	o, err := s.Put(c.Request().Context(), wanted)
	return sendObject(c, o.WithValue(nil), err)
}

func getVMs(c echo.Context, s *Store) error {
	ctx, cancel, after := watchContext(c)
	defer cancel()
	r, err := s.VMs(ctx, after)
	if err != nil {
		return c.NoContent(status(err))
	}
	body, err := translator.EncodeRoster(r)
	if err != nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, body)
}

func putVM(c echo.Context, s *Store) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, object.MaxValueBytes))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	v, err := translator.DecodeVM(body)
	if err != nil || v.Name() != c.Param("name") || (v.Role() != roster.RoleEntry && v.Role() != roster.RoleEndpoint) {
		return c.NoContent(http.StatusBadRequest)
	}
	s.PutVM(v)
	return c.NoContent(http.StatusOK)
}

func status(err error) int {
	switch fault.KindOf[kingcupstile.Kind](err) {
	case kingcupstile.KindMissing:
		return http.StatusNotFound
	case kingcupstile.KindConflict:
		return http.StatusPreconditionFailed
	case kingcupstile.KindLimited:
		return http.StatusTooManyRequests
	case kingcupstile.KindUnavailable:
		return http.StatusServiceUnavailable
	case kingcupstile.KindInvalid:
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}
