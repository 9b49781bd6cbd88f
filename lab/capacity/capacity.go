package capacity

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// measurement is a named function that measures a set of series.
type measurement struct {
	name    string
	measure func(context.Context, binary) ([]series, error)
}

func measurements() []measurement {
	return []measurement{
		{"traffic", traffic},
		{"streams", streams},
		{"endpoint", endpointStreams},
		{"endpoints", endpoints},
		{"accounts", accounts},
		{"services", services},
		{"daemons", daemons},
	}
}

// Command returns the experiment's command, which writes its tables to out.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how cost grows with size on real daemon processes, and extrapolate it to the planned size",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "only", Usage: "measure only this set: traffic, streams, endpoint, endpoints, accounts, services or daemons"},
			&cli.StringFlag{Name: "page", Usage: "write the capacity page to this file"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			b, err := build(ctx)
			defer b.remove()
			if err != nil {
				return err
			}
			all, err := measureAll(ctx, b, c.String("only"), out)
			if err != nil || c.String("page") == "" {
				return err
			}
			return writeFile(c.String("page"), all)
		},
	}
}

// measureAll runs the measurements, or only the named one, and prints a line for each series as soon as it is measured.
func measureAll(ctx context.Context, b binary, only string, out io.Writer) ([]series, error) {
	_, _ = fmt.Fprintln(out, "| quantity | unit | over | sizes | values | slope | at 0 | bend |")
	_, _ = fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	var all []series
	for _, m := range measurements() {
		if only != "" && only != m.name {
			continue
		}
		measured, err := m.measure(ctx, b)
		if err != nil {
			return nil, err
		}
		for _, s := range measured {
			_, _ = fmt.Fprintln(out, s.row())
		}
		all = append(all, measured...)
	}
	return all, nil
}

// writeFile writes the capacity page to a file.
func writeFile(name string, all []series) error {
	f, err := os.Create(name)
	if err != nil {
		return fault.New("write page", KindMeasure, err)
	}
	return errors.Join(writePage(f, all), f.Close())
}
