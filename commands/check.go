package commands

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/protocol/parser"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

func checkCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate service, account and settings files, or configurations of the users' platform, without sending them",
		ArgsUsage: "FILE|FOLDER…",
		Flags:     configurationFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			configurations, paths := splitPaths(c.Args().Slice(), hasConfigurationFlag(c))
			var bundleErr error
			if len(paths) > 0 || len(configurations) == 0 && !c.Bool(jsonFlag) {
				bundleErr = checkBundle(out, paths, c.Bool(jsonFlag))
			}
			if hasConfigurationFlag(c) && bundleErr != nil {
				bundleErr = fault.New("check", KindRejected, bundleErr)
			}
			if len(configurations) == 0 && !c.Bool(jsonFlag) {
				return bundleErr
			}
			// The finding that counts more decides the exit code.
			err := checkConfigurations(ctx, out, c, configurations)
			if bundleErr != nil && fault.KindOf[Kind](err) != KindRejected {
				return errors.Join(bundleErr, err)
			}
			return errors.Join(err, bundleErr)
		},
	}
}

// checkBundle checks service, account and settings files. Its summary is left out where the output is for scripts.
func checkBundle(out io.Writer, paths []string, quiet bool) error {
	bundle, err := parsePaths(paths)
	if err != nil || quiet {
		return err
	}
	_, err = fmt.Fprintf(out, "ok: %d services, %d accounts\n", len(bundle.Services), len(bundle.Accounts))
	return err
}

// parsePaths parses the files in paths, and the service and account files below the folders in paths. It goes on after
// a file with mistakes, so that the error lists the mistakes in all files.
func parsePaths(paths []string) (parser.Bundle, error) {
	if len(paths) == 0 {
		return parser.Bundle{}, fault.Newf("collect files", KindUsage, "name at least one file or folder")
	}
	var bundle parser.Bundle
	var failures []error
	for _, path := range paths {
		err := filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || (file != path && !isBundleFile(file)) {
				return err
			}
			text, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			next, err := parseFile(bundle, file, text)
			if err != nil {
				failures = append(failures, err)
				return nil
			}
			bundle = next
			return nil
		})
		if err != nil {
			return parser.Bundle{}, fault.New("collect files", KindFiles, err)
		}
	}
	if len(failures) > 0 {
		return parser.Bundle{}, fault.New("check", KindFiles, errors.Join(mistakesOf(failures)...))
	}
	return bundle, parser.CheckBundle(bundle)
}

// isBundleFile reports whether the name of a file says that it describes a service or an account.
func isBundleFile(file string) bool {
	return strings.HasSuffix(file, parser.ServiceSuffix) || strings.HasSuffix(file, parser.AccountSuffix)
}

func parseFile(bundle parser.Bundle, file string, text []byte) (parser.Bundle, error) {
	if isBundleFile(file) {
		return parser.Parse(bundle, file, text)
	}
	_, err := parser.ParseSettings(file, text)
	return bundle, err
}

// mistakesOf replaces in place each error that lists mistakes by the list.
func mistakesOf(failures []error) []error {
	for i, err := range failures {
		var mistakes parser.MistakeErrors
		if errors.As(err, &mistakes) {
			failures[i] = mistakes
		}
	}
	return failures
}
