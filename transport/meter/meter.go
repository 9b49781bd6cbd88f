package meter

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
)

const reportInterval = time.Second

// Meter is a tally reporter that keeps the latest values in memory.
type Meter struct {
	mu     sync.Mutex
	values map[string]float64
}

// New returns an empty meter.
func New() *Meter { return &Meter{values: map[string]float64{}} }

// Scope returns a tally scope that reports to the meter once a second until the closer is closed; name prefixes
// metrics.
func (m *Meter) Scope(name string) (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{Prefix: name, Separator: "_", Reporter: m, OmitCardinalityMetrics: true}, reportInterval)
}

// Capabilities returns the meter itself, which supports reporting and tagging.
func (m *Meter) Capabilities() tally.Capabilities { return m }

// Reporting returns true.
func (m *Meter) Reporting() bool { return true }

// Tagging returns true.
func (m *Meter) Tagging() bool { return true }

// Flush does nothing, as each reported value is stored at once.
func (m *Meter) Flush() {}

// ReportCounter adds to a counter.
func (m *Meter) ReportCounter(name string, tags map[string]string, value int64) {
	m.add(seriesName(name, tags), float64(value))
}

// ReportGauge sets a gauge.
func (m *Meter) ReportGauge(name string, tags map[string]string, value float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[seriesName(name, tags)] = value
}

// ReportTimer adds to a timer's count and its sum in seconds.
func (m *Meter) ReportTimer(name string, tags map[string]string, d time.Duration) {
	m.add(seriesName(name+"_count", tags), 1)
	m.add(seriesName(name+"_seconds", tags), d.Seconds())
}

// ReportHistogramValueSamples adds samples to the histogram bucket with the upper bound high.
func (m *Meter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, high float64, samples int64) {
	m.add(seriesName(name, withBound(tags, fmt.Sprint(high))), float64(samples))
}

// ReportHistogramDurationSamples adds samples to the histogram bucket with the upper bound high.
func (m *Meter) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, high time.Duration, samples int64) {
	m.add(seriesName(name, withBound(tags, high.String())), float64(samples))
}

func (m *Meter) add(series string, value float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[series] += value
}

// withBound returns a copy of tags with the upper bound of a bucket as the tag le.
func withBound(tags map[string]string, bound string) map[string]string {
	tags = maps.Clone(tags)
	if tags == nil {
		tags = map[string]string{}
	}
	tags["le"] = bound
	return tags
}

// seriesName returns the name of a series with its tags, sorted, as name{tag="value",…}.
func seriesName(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}
	pairs := make([]string, 0, len(tags))
	for _, tag := range slices.Sorted(maps.Keys(tags)) {
		pairs = append(pairs, fmt.Sprintf("%s=%q", tag, tags[tag]))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

// Text returns one line for each series, sorted by name.
func (m *Meter) Text() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(m.values)) {
		fmt.Fprintf(&b, "%s %g\n", name, m.values[name])
	}
	return b.String()
}

// ServeHTTP writes all series and the process's own use of resources as plain text.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, m.Text()+processText())
}

// processText returns one line each for the heap in bytes, the number of goroutines and the processor time in seconds.
func processText() string {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return ""
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return fmt.Sprintf("process_heap_bytes %d\nprocess_goroutines %d\nprocess_processor_seconds %g\n",
		memory.HeapAlloc, runtime.NumGoroutine(), used.Seconds())
}
