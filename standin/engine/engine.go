package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// DefaultLineInterval is the time between two lines of a draft if no option sets it.
const DefaultLineInterval = 20 * time.Millisecond

// MaxLines is the maximum number of lines in a draft.
const MaxLines = 10_000

// Draft is the body of a request for a draft.
type Draft struct {
	Slip  string `json:"slip"`
	Lines int    `json:"lines"`
}

// Line is the data of an event: a line's number, from 1, out of Of lines.
type Line struct {
	Slip string `json:"slip"`
	Line int    `json:"line"`
	Of   int    `json:"of"`
}

// End is the data of the event that ends a draft.
const End = "[DONE]"

// Engine streams drafts at the pace of a group's steps.
type Engine struct {
	group        *Group
	lineInterval time.Duration
}

// Option sets a field of an Engine under construction.
type Option func(*Engine)

// LineInterval sets the time between two lines; with 0 lines follow without delay.
func LineInterval(d time.Duration) Option { return func(e *Engine) { e.lineInterval = d } }

// New returns an engine in front of a group, by default with DefaultLineInterval.
func New(group *Group, options ...Option) *Engine {
	e := &Engine{group: group, lineInterval: DefaultLineInterval}
	for _, option := range options {
		option(e)
	}
	return e
}

// Handler returns the HTTP handler of POST /v1/drafts.
func (e *Engine) Handler() http.Handler {
	s := echo.New()
	s.POST("/v1/drafts", e.draft)
	return s
}

func (e *Engine) draft(c echo.Context) error {
	var d Draft
	if err := json.NewDecoder(c.Request().Body).Decode(&d); err != nil || d.Lines < 1 || d.Lines > MaxLines {
		return c.JSON(http.StatusBadRequest, map[string]string{"error": "a slip and 1 to 10000 lines"})
	}
	c.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
	c.Response().WriteHeader(http.StatusOK)
	for line := range d.Lines {
		if err := e.awaitStep(c); err != nil {
			return err
		}
		data, err := json.Marshal(Line{Slip: d.Slip, Line: line + 1, Of: d.Lines})
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(c.Response(), "data: %s\n\n", data); err != nil {
			return err
		}
		c.Response().Flush()
	}
	_, err := fmt.Fprintf(c.Response(), "data: %s\n\n", End)
	return err
}

// awaitStep waits for the line interval, then until the group has taken a step.
func (e *Engine) awaitStep(c echo.Context) error {
	if e.lineInterval > 0 {
		select {
		case <-time.After(e.lineInterval):
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		}
	}
	_, err := e.group.Step(c.Request().Context())
	return err
}
