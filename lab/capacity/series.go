package capacity

import "fmt"

// Identifiers by which estimates and failure scenarios find series.
const (
	idEntryRequest          = "entry-request"
	idEndpointRequest       = "endpoint-request"
	idEntryToken            = "entry-token"
	idEndpointToken         = "endpoint-token"
	idEntryStream           = "entry-stream"
	idEndpointStream        = "endpoint-stream"
	idEntryControl          = "entry-control"
	idEntryTraffic          = "entry-traffic"
	idEntryListedEndpoints  = "entry-known"
	idEntryAccounts         = "entry-accounts"
	idPlatformCalls         = "platform-calls"
	idPlatformWaiting       = "platform-waiting"
	idStartCalls            = "start-calls"
	idEntryControlByEntries = "entry-beats"
	idEntryPeerBytes        = "entry-peer-bytes"
	idInForce               = "in-force"
	idConfigBytes           = "config-bytes"
)

// point is one measurement at one size.
type point struct{ size, value float64 }

// series is one quantity measured at several sizes; over says what the size is. The id may be empty.
type series struct {
	id     string
	name   string
	unit   string
	over   string
	points []point
}

// fit returns the least-squares slope and the value at size 0.
func (s series) fit() (slope, base float64) {
	n := float64(len(s.points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.points {
		sumX += p.size
		sumY += p.value
		sumXX += p.size * p.size
		sumXY += p.size * p.value
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return slope, (sumY - slope*sumX) / n
}

// bend returns the slope of the last segment divided by that of the first: 1 is a straight line. It returns 0 if the
// first slope is 0.
func (s series) bend() float64 {
	n := len(s.points)
	first, last := segment(s.points[0], s.points[1]), segment(s.points[n-2], s.points[n-1])
	if first == 0 {
		return 0
	}
	return last / first
}

func segment(a, b point) float64 { return (b.value - a.value) / (b.size - a.size) }

// row returns the series as a row of a Markdown table.
func (s series) row() string {
	sizes, values := "", ""
	for i, p := range s.points {
		if i > 0 {
			sizes += ", "
			values += ", "
		}
		sizes += fmt.Sprintf("%.4g", p.size)
		values += fmt.Sprintf("%.4g", p.value)
	}
	slope, base := s.fit()
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %.4g | %.4g | %.2g |", s.name, s.unit, s.over, sizes, values, slope, base, s.bend())
}
