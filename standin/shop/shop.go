package shop

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"
)

// Order asks for prints of a sheet; the caller chooses Reference to identify the order.
type Order struct {
	Reference string `json:"reference"`
	Sheet     string `json:"sheet"`
}

// Receipt answers an order with the number of times that it ran, including this one.
type Receipt struct {
	Reference string `json:"reference"`
	Runs      int    `json:"runs"`
}

// Shop counts the runs of each order in memory.
type Shop struct {
	mu   sync.Mutex
	runs map[string]int
}

// New returns a shop without orders.
func New() *Shop { return &Shop{runs: map[string]int{}} }

// Runs returns how often the order with this reference ran.
func (s *Shop) Runs(reference string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[reference]
}

// Handler returns the HTTP handler of POST /orders and GET /sheets/NAME.
func (s *Shop) Handler() http.Handler {
	e := echo.New()
	e.POST("/orders", s.order)
	e.GET("/sheets/:name", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]string{"sheet": c.Param("name")})
	})
	return e
}

func (s *Shop) order(c echo.Context) error {
	var o Order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil || o.Reference == "" {
		return c.JSON(http.StatusBadRequest, map[string]string{"error": "an order with a reference"})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[o.Reference]++
	return c.JSON(http.StatusCreated, Receipt{Reference: o.Reference, Runs: s.runs[o.Reference]})
}
