package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/coordination/validator"
	"github.com/kingcupstile/kingcupstile/platform"
	"github.com/kingcupstile/kingcupstile/protocol/parser"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/manifest"
)

const (
	againstFlag = "against"
	storeFlag   = "store"
	jsonFlag    = "json"
	bytesPerMB  = 1 << 20
)

// configurationFlags returns the flags of the check of configurations.
func configurationFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: againstFlag, Usage: "compare configurations with the one in this `FILE`"},
		&cli.StringFlag{Name: storeFlag, Usage: "compare configurations with the one in the store at this `ADDRESS`, an IP address and port"},
		&cli.StringFlag{Name: settingsFlag, Usage: "an entry's settings `FILE`, for limits that depend on its memory"},
		&cli.BoolFlag{Name: jsonFlag, Usage: "print the findings on configurations as JSON"},
	}
}

func hasConfigurationFlag(c *cli.Command) bool {
	return slices.ContainsFunc([]string{againstFlag, storeFlag, settingsFlag, jsonFlag}, c.IsSet)
}

// configurationFile is a file with a configuration and its content, or why it could not be read.
type configurationFile struct {
	name string
	text []byte
	err  error
}

// splitPaths returns the files among paths that hold a configuration, and the other paths. With all set, each file that does not
// describe a service or an account by its name is taken for a configuration, else those that look like one.
func splitPaths(paths []string, all bool) ([]configurationFile, []string) {
	var configurations []configurationFile
	var others []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if isBundleFile(path) || err == nil && info.IsDir() {
			others = append(others, path)
			continue
		}
		text, err := os.ReadFile(path)
		if all || err == nil && platform.IsConfiguration(text) {
			configurations = append(configurations, configurationFile{name: path, text: text, err: err})
		} else {
			others = append(others, path)
		}
	}
	return configurations, others
}

// checkConfigurations prints the findings on configurations, and returns an Error of KindRejected or KindWarned unless there are only
// notes. What keeps it from checking is of KindRejected too, so that a script never takes it for a warning.
func checkConfigurations(ctx context.Context, out io.Writer, c *cli.Command, files []configurationFile) error {
	reject := func(err error) error { return fault.New("check", KindRejected, err) }
	v := validator.New()
	if file := c.String(settingsFlag); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return reject(err)
		}
		settings, err := parser.ParsePlatformSettings(file, text)
		if err != nil {
			return reject(err)
		}
		v = v.WithMemory(int64(settings.Memory) * bytesPerMB)
	}
	for _, f := range files {
		if f.err != nil {
			return reject(f.err)
		}
	}
	// A large file takes a second to decode, so that all of them are decoded at once.
	manifests := make([]manifest.Manifest, len(files))
	var decoding sync.WaitGroup
	for i, f := range files {
		decoding.Go(func() { manifests[i] = platform.ParseManifest(f.name, f.text) })
	}
	inForce, err := readBase(ctx, c)
	decoding.Wait()
	if err != nil {
		return reject(err)
	}
	reports := make([]report, 0, len(files))
	total := counts{}
	for _, m := range manifests {
		r := newReport(m, v, inForce)
		reports, total = append(reports, r), total.plus(r.counts)
	}
	if c.Bool(jsonFlag) {
		err = writeJSON(out, reports)
	} else {
		err = writeText(out, reports)
	}
	switch {
	case err != nil:
		return reject(err)
	case total.Errors > 0:
		return fault.Newf("check", KindRejected, "%s", total)
	case total.Warnings > 0:
		return fault.Newf("check", KindWarned, "%s", total)
	}
	return nil
}

// base is the version in force that configurations are compared with.
type base struct {
	// source names the file or store, empty if there is nothing to compare with.
	source   string
	manifest manifest.Manifest
	// isMissing reports that the store holds no configuration.
	isMissing bool
}

func readBase(ctx context.Context, c *cli.Command) (base, error) {
	file, address := c.String(againstFlag), c.String(storeFlag)
	switch {
	case file != "" && address != "":
		return base{}, fault.Newf("check", KindUsage, "give either --%s or --%s", againstFlag, storeFlag)
	case file != "":
		text, err := os.ReadFile(file)
		if err != nil {
			return base{}, err
		}
		m := platform.ParseManifest(file, text)
		if mistakes := m.Mistakes(); len(mistakes) > 0 {
			at := mistakes[0].At
			return base{}, fault.Newf("read "+file, KindFiles, "%d:%d: %q: %s", at.Line, at.Column, at.Key, mistakes[0].Text)
		}
		return base{source: file, manifest: m}, nil
	case address != "":
		m, found, err := platform.ReadManifest(ctx, platform.NewClient(address))
		return base{source: address, manifest: m, isMissing: !found}, err
	}
	return base{}, nil
}

// counts is the number of findings and differences by severity.
type counts struct {
	Errors   int `json:"errors"`
	Warnings int `json:"warnings"`
	Notes    int `json:"notes"`
}

func (n counts) plus(other counts) counts {
	return counts{Errors: n.Errors + other.Errors, Warnings: n.Warnings + other.Warnings, Notes: n.Notes + other.Notes}
}

func (n counts) with(s validator.Severity) counts {
	switch s {
	case validator.SeverityError:
		n.Errors++
	case validator.SeverityWarning:
		n.Warnings++
	case validator.SeverityNote:
		n.Notes++
	}
	return n
}

// String returns the counts that are not 0.
func (n counts) String() string {
	var parts []string
	for _, part := range []struct {
		count int
		name  string
	}{{n.Errors, "error"}, {n.Warnings, "warning"}, {n.Notes, "note"}} {
		switch {
		case part.count == 1:
			parts = append(parts, "1 "+part.name)
		case part.count > 1:
			parts = append(parts, fmt.Sprintf("%d %ss", part.count, part.name))
		}
	}
	if len(parts) == 0 {
		return "nothing found"
	}
	return strings.Join(parts, ", ")
}

// finding is a finding or difference as it is printed.
type finding struct {
	Severity string `json:"severity"`
	// Rule is set for findings, and Effect for differences.
	Rule   string `json:"rule,omitempty"`
	Effect string `json:"effect,omitempty"`
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Key    string `json:"key,omitempty"`
	Text   string `json:"text"`
}

// String returns the finding as file:line:column: severity: key: text.
func (f finding) String() string {
	text := fmt.Sprintf("%s:%d:%d: %s: ", f.File, f.Line, f.Column, f.Severity)
	if f.Key != "" {
		text += fmt.Sprintf("%q: ", f.Key)
	}
	return text + f.Text
}

// report is what is printed about one configuration.
type report struct {
	File     string    `json:"file"`
	Version  uint64    `json:"version"`
	Routes   int       `json:"routes"`
	Services int       `json:"services"`
	Accounts int       `json:"accounts"`
	Findings []finding `json:"findings"`
	// Against names what the configuration was compared with, empty if it was not.
	Against     string    `json:"against,omitempty"`
	Differences []finding `json:"differences"`
	counts
}

// newReport checks a configuration, and compares it with the base unless either cannot be compared.
func newReport(m manifest.Manifest, v validator.Validator, b base) report {
	r := report{
		File: m.File(), Version: m.Version(), Routes: len(m.Routes()), Services: len(m.Services()), Accounts: len(m.Accounts()),
		Findings: []finding{}, Differences: []finding{},
	}
	findings := v.Validate(m)
	var differences []validator.Difference
	switch {
	case b.source == "" || len(m.Mistakes()) > 0:
	case b.isMissing:
		findings = append(findings, validator.Finding{
			Severity: validator.SeverityNote, Rule: validator.RuleNothingInForce, File: m.File(), At: m.VersionAt(),
			Text: "the store at " + b.source + " holds no configuration to compare with",
		})
	default:
		r.Against = b.source
		var more []validator.Finding
		differences, more = validator.Compare(b.manifest, m)
		findings = append(findings, more...)
	}
	for _, f := range findings {
		r.counts = r.with(f.Severity)
		r.Findings = append(r.Findings, finding{
			Severity: string(f.Severity), Rule: string(f.Rule), File: f.File, Line: f.At.Line, Column: f.At.Column, Key: f.At.Key, Text: f.Text,
		})
	}
	for _, d := range differences {
		r.counts = r.with(d.Severity)
		r.Differences = append(r.Differences, finding{
			Severity: string(d.Severity), Effect: string(d.Effect), File: d.File, Line: d.At.Line, Column: d.At.Column, Key: d.At.Key, Text: d.Text,
		})
	}
	return r
}

func writeJSON(out io.Writer, reports []report) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(reports)
}

func writeText(out io.Writer, reports []report) error {
	var text strings.Builder
	for _, r := range reports {
		for _, f := range r.Findings {
			_, _ = fmt.Fprintln(&text, f)
		}
		if r.Against != "" && len(r.Differences) == 0 {
			_, _ = fmt.Fprintf(&text, "no differences from %s\n", r.Against)
		}
		effect := ""
		for _, d := range r.Differences {
			if d.Effect != effect {
				effect = d.Effect
				_, _ = fmt.Fprintf(&text, "differences from %s, %s:\n", r.Against, effect)
			}
			_, _ = fmt.Fprintf(&text, "  %s\n", d)
		}
		_, _ = fmt.Fprintf(&text, "%s: version %d, %d routes, %d services, %d accounts: %s\n",
			r.File, r.Version, r.Routes, r.Services, r.Accounts, r.counts)
	}
	_, err := io.WriteString(out, text.String())
	return err
}
