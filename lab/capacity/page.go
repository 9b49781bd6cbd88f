package capacity

import (
	"embed"
	"io"
	"runtime"
	"text/template"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

//go:embed page.md.tmpl
var pages embed.FS

// page is the data of page.md.tmpl, which uses the names of its fields; all but Cores are rows of tables.
type page struct {
	Cores  int
	Over   []string
	Sums   []string
	Series []string
	Days   []string
}

// writePage writes the capacity page, docs/CAPACITY.md, from the series that were measured.
func writePage(out io.Writer, all []series) error {
	p := page{Cores: runtime.NumCPU()}
	m := seriesByID{}
	for _, s := range all {
		p.Series = append(p.Series, s.row())
		if s.id != "" {
			m[s.id] = s
		}
	}
	for _, s := range estimates(m) {
		p.Sums = append(p.Sums, s.row())
		if s.isOverBudget() {
			p.Over = append(p.Over, s.row())
		}
	}
	for _, d := range failureScenarios(m) {
		p.Days = append(p.Days, d.row())
	}
	t, err := template.ParseFS(pages, "page.md.tmpl")
	if err != nil {
		return fault.New("write page", KindMeasure, err)
	}
	return t.Execute(out, p)
}
