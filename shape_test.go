package kingcupstile_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const module = "github.com/kingcupstile/kingcupstile"

// layers are the top folders of the layers from the lowest to the highest; a package may import only its own layer and
// lower ones.
var layers = []string{"state", "coordination", "protocol", "transport"}

// aboveLayers are the top folders that belong to no layer and may import all of them.
var aboveLayers = []string{"cmd", "commands", "standin", "examples", "lab"}

type packageInfo struct {
	ImportPath   string
	Dir          string
	Imports      []string
	GoFiles      []string
	TestGoFiles  []string
	XTestGoFiles []string
}

func listPackages(t *testing.T) []packageInfo {
	t.Helper()
	const fields = "-json=ImportPath,Dir,Imports,GoFiles,TestGoFiles,XTestGoFiles"
	out, err := exec.CommandContext(t.Context(), "go", "list", fields, "./...").Output()
	if err != nil {
		t.Fatal(err)
	}
	var packages []packageInfo
	decoder := json.NewDecoder(strings.NewReader(string(out)))
	for decoder.More() {
		var p packageInfo
		if err := decoder.Decode(&p); err != nil {
			t.Fatal(err)
		}
		packages = append(packages, p)
	}
	if len(packages) < 10 {
		t.Fatalf("only %d packages listed", len(packages))
	}
	return packages
}

// layerOf returns the number of a package's layer: 0 for state, 1 for the root package, then the other layers in order,
// and the highest number for folders above all layers.
func layerOf(t *testing.T, path string) int {
	t.Helper()
	if path == module {
		return 1
	}
	top, _, _ := strings.Cut(strings.TrimPrefix(path, module+"/"), "/")
	if slices.Contains(aboveLayers, top) {
		return len(layers) + 2
	}
	i := slices.Index(layers, top)
	switch {
	case top == "platform":
		// The adapter translates messages, as the protocol layer does.
		return slices.Index(layers, "protocol") + 1
	case i < 0:
		t.Fatalf("%s is in no layer", path)
	case i == 0:
		return 0
	}
	return i + 1
}

func TestImportsPointDown(t *testing.T) {
	for _, p := range listPackages(t) {
		for _, imported := range p.Imports {
			if !strings.HasPrefix(imported, module) {
				continue
			}
			if layerOf(t, imported) > layerOf(t, p.ImportPath) {
				t.Errorf("%s imports %s, which is in a higher layer", p.ImportPath, imported)
			}
		}
	}
}

func TestEveryPackageHasDocFile(t *testing.T) {
	for _, p := range listPackages(t) {
		if len(p.GoFiles) > 0 && !slices.Contains(p.GoFiles, "doc.go") {
			t.Errorf("%s has no doc.go", p.ImportPath)
		}
	}
}

func TestTestsAreExternal(t *testing.T) {
	for _, p := range listPackages(t) {
		if len(p.TestGoFiles) > 0 {
			t.Errorf("%s has tests inside the package: %v", p.ImportPath, p.TestGoFiles)
		}
		for _, file := range p.XTestGoFiles {
			if file == "export_test.go" {
				t.Errorf("%s exports internals to tests", filepath.Join(p.ImportPath, file))
			}
		}
	}
}

func TestNoProxyFromLibrary(t *testing.T) {
	banned := []string{"net/http/httputil", "github.com/labstack/echo/v4/middleware"}
	for _, p := range listPackages(t) {
		for _, imported := range p.Imports {
			if slices.Contains(banned, imported) {
				t.Errorf("%s imports %s", p.ImportPath, imported)
			}
		}
	}
}

func TestPlatformImportsNoDecisions(t *testing.T) {
	for _, p := range listPackages(t) {
		if p.ImportPath != module+"/platform" {
			continue
		}
		for _, imported := range p.Imports {
			if strings.HasPrefix(imported, module+"/coordination") || strings.HasPrefix(imported, module+"/transport") {
				t.Errorf("%s imports %s", p.ImportPath, imported)
			}
		}
	}
}

// platformNames are paths, headers, settings and fields of the platform's protocol, which only the adapter and its
// stand-in may use.
var platformNames = []string{
	"kingcupstile/objects", "kingcupstile/lookup", "kingcupstile/readyz", "kingcupstile/report", "kingcupstile/picked", "kingcupstile/order",
	"X-Server-Seal", "X-Expect-Instance", "X-Not-Executed", "X-Deadline-Ms", "X-Token-Count", "X-Prefix-Hash", "At-Server", "X-Tenant",
	"KINGCUPSTILE_NODE_FILE", "coldLeftMs", "X-Cold-Ms", "coldPerS", "gapTargetMs", "evacuateMs", "Store-Era",
}

func TestOnlyPlatformUsesItsWireNames(t *testing.T) {
	for _, p := range listPackages(t) {
		if strings.HasPrefix(p.ImportPath, module+"/platform") || strings.HasPrefix(p.ImportPath, module+"/standin/site") {
			continue
		}
		for _, file := range p.GoFiles {
			text, err := os.ReadFile(filepath.Join(p.Dir, file))
			if err != nil {
				t.Fatal(err)
			}
			for _, name := range platformNames {
				if strings.Contains(string(text), name) {
					t.Errorf("%s/%s contains the platform's name %s", p.ImportPath, file, name)
				}
			}
		}
	}
}

// TestAnswersAreVerified guards against an HTTP client of the product that takes answers as net/http gives them.
func TestAnswersAreVerified(t *testing.T) {
	banned := []string{
		"http.DefaultClient", "http.DefaultTransport", "http.Get(", "http.Post(", "http.PostForm(", "http.Head(", "http.Client{}",
	}
	product := []string{"coordination", "protocol", "platform", "transport", "commands", "cmd"}
	for _, p := range listPackages(t) {
		if top, _, _ := strings.Cut(strings.TrimPrefix(p.ImportPath, module+"/"), "/"); !slices.Contains(product, top) {
			continue
		}
		for _, file := range p.GoFiles {
			text, err := os.ReadFile(filepath.Join(p.Dir, file))
			if err != nil {
				t.Fatal(err)
			}
			for _, name := range banned {
				if strings.Contains(string(text), name) {
					t.Errorf("%s/%s uses %s", p.ImportPath, file, name)
				}
			}
			if strings.Contains(string(text), "&http.Transport{") && !strings.Contains(string(text), "verifier.New(") {
				t.Errorf("%s/%s has a transport without verifier", p.ImportPath, file)
			}
		}
	}
}
