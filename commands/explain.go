package commands

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// maxLineBytes is the size of the longest log line that can be read.
const maxLineBytes = 1 << 20

// logLine is a log line about the request that is explained, with the VM that logged it.
type logLine struct {
	time, vm, text string
}

// explainCommand returns the command that prints the log lines about one request in order of time.
func explainCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "list the log lines about one request in order of time, from the logs of all processes",
		ArgsUsage: "REQUEST FILE…",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return fault.Newf("explain", KindUsage, "name a request's identifier and at least one log file")
			}
			id, found := c.Args().First(), []logLine{}
			for _, file := range c.Args().Tail() {
				lines, err := findLines(file, id)
				if err != nil {
					return fault.New("explain", KindFiles, err)
				}
				found = append(found, lines...)
			}
			if len(found) == 0 {
				return fault.Newf("explain", KindFailed, "no log line names request %q: its first attempt succeeded, or its lines were dropped", id)
			}
			slices.SortStableFunc(found, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
			for _, l := range found {
				if _, err := fmt.Fprintf(out, "%s  %s  %s\n", l.time, l.vm, l.text); err != nil {
					return fault.New("explain", KindFailed, err)
				}
			}
			return nil
		},
	}
}

// findLines returns the lines of a file whose field `request` is id. Text before the JSON object of a line is ignored,
// and so are lines without one.
func findLines(file, id string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var found []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 || !strings.Contains(text, id) {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil || fields["request"] != id {
			continue
		}
		found = append(found, logLine{time: formatValue(fields["time"]), vm: formatValue(fields["vm"]), text: formatFields(fields)})
	}
	return found, scanner.Err()
}

func formatValue(v any) string { return fmt.Sprint(v) }

// formatFields returns a line's message, followed by its other fields in order of names.
func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if !slices.Contains([]string{"time", "vm", "msg", "level", "request"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, 1+len(names))
	parts = append(parts, formatValue(fields["msg"]))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}
