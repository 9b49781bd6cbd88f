package commands_test

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/kingcupstile/kingcupstile/commands"
	"github.com/kingcupstile/kingcupstile/standin/site"
)

func TestSite(t *testing.T) {
	s := site.NewStore()
	server := httptest.NewServer(s)
	defer server.Close()
	s.Put("config", "main", map[string]any{"version": 7, "routes": []any{}, "services": []any{map[string]any{"name": "pool"}}})
	s.Put("servers", "i-1", map[string]any{"service": "pool", "addr": "10.0.0.1:80", "zone": "kgl-a", "state": "draining"})
	var out bytes.Buffer
	if err := commands.Client(&out).Run(t.Context(), []string{"kingcupstile", "site", server.Listener.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"version 7", "1 services", "i-1", "leaving"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	if err := commands.Client(&out).Run(t.Context(), []string{"kingcupstile", "site", "127.0.0.1:1"}); err == nil {
		t.Error("no error without a store")
	}
}

func TestExplain(t *testing.T) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "a"), filepath.Join(dir, "b")
	lines := map[string]string{
		first: `   2.1 e-1 {"time":"2","vm":"e-1","msg":"request concluded","request":"r-1","status":502}` + "\nnoise\n",
		second: `{"time":"1","vm":"e-1","msg":"attempt failed","request":"r-1","sent":true}` + "\n" +
			`{"time":"1","vm":"e-1","msg":"attempt failed","request":"r-2","sent":true}` + "\n",
	}
	for file, text := range lines {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	if err := commands.Client(&out).Run(t.Context(), []string{"kingcupstile", "explain", "r-1", first, second}); err != nil {
		t.Fatal(err)
	}
	if want := "1  e-1  attempt failed sent=true\n2  e-1  request concluded status=502\n"; out.String() != want {
		t.Errorf("got\n%s", out.String())
	}
	if err := commands.Client(&out).Run(t.Context(), []string{"kingcupstile", "explain", "r-3", first}); err == nil {
		t.Error("no error for an unknown request")
	}
}
