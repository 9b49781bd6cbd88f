package translator_test

import (
	"strings"
	"testing"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// FuzzParsePosition checks that an accepted identifier has all fields, and that its position stays the same when it is
// encoded and parsed again.
func FuzzParsePosition(f *testing.F) {
	for _, id := range []string{
		"desk-1~first~r~1~7", "desk-1~first~r~1~-7", "desk-1~first~r~0~7", "~~~1~1", "desk-1~first~r~1~9223372036854775808",
		"desk-1~first~r~4294967297~1", "desk-1~fi\x00rst~r~1~1", "desk-1~first~r~1~007", "", strings.Repeat("~", 300), "d~i~r#1~1~1",
	} {
		f.Add(id)
	}
	f.Fuzz(func(t *testing.T, id string) {
		p, err := translator.ParsePosition(id)
		if err != nil {
			if fault.KindOf[kingcupstile.Kind](err) != kingcupstile.KindInvalid {
				t.Errorf("%q: %v", id, err)
			}
			return
		}
		if p.Endpoint == "" || p.Incarnation == "" || p.Request == "" || p.Number < 1 || p.Offset+1 == 0 {
			t.Errorf("%q is accepted as %+v", id, p)
		}
		again, err := translator.ParsePosition(p.String())
		if err != nil || again != p {
			t.Errorf("%q: parsing %q again gave a different position, or error %v", id, p, err)
		}
	})
}
