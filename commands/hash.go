package commands

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

const maxKeyBytes = 4096

func hashCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "hash",
		Usage: "print the hash of the client account's key read from standard input",
		Action: func(context.Context, *cli.Command) error {
			text, err := io.ReadAll(io.LimitReader(os.Stdin, maxKeyBytes))
			if err != nil {
				return fault.New("hash", KindFailed, err)
			}
			sum := sha256.Sum256([]byte(strings.TrimSpace(string(text))))
			_, err = fmt.Fprintln(out, hex.EncodeToString(sum[:]))
			return err
		},
	}
}
