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

// maxLine is the most bytes of one log line.
const maxLine = 1 << 20

// line is one log line that speaks of a request, or of what its process believed at the time.
type line struct {
	time, vm, text string
}

// explainCommand tells the story of one request from logs.
func explainCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell what happened to one request, from the logs of all processes",
		ArgsUsage: "REQUEST FILE…",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return fault.Newf("explain", KindUsage, "name a request's identifier and log files")
			}
			id, found := c.Args().First(), []line{}
			for _, file := range c.Args().Tail() {
				lines, err := search(file, id)
				if err != nil {
					return fault.New("explain", KindFiles, err)
				}
				found = append(found, lines...)
			}
			if len(found) == 0 {
				return fault.Newf("explain", KindFailed, "no line speaks of request %q: it was served at once, or its lines were left out", id)
			}
			slices.SortStableFunc(found, func(a, b line) int { return strings.Compare(a.time, b.time) })
			for _, l := range found {
				if _, err := fmt.Fprintf(out, "%s  %s  %s\n", l.time, l.vm, l.text); err != nil {
					return fault.New("explain", KindFailed, err)
				}
			}
			return nil
		},
	}
}

// search returns the lines of a file that name a request; what precedes the JSON of a line is ignored.
func search(file, id string) ([]line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var found []line
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLine)
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
		found = append(found, line{time: word(fields["time"]), vm: word(fields["vm"]), text: story(fields)})
	}
	return found, scanner.Err()
}

func word(v any) string { return fmt.Sprint(v) }

// story returns a line's message and its fields in order of names.
func story(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if !slices.Contains([]string{"time", "vm", "msg", "level", "request"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, 1+len(names))
	parts = append(parts, word(fields["msg"]))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}
