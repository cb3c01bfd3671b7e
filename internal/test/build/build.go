// Package build builds the program for tests that run it as separate processes.
//
// Usage:
//
//	func TestMain(m *testing.M) { build.Main(m) }
//	cmd := exec.Command(build.Program(), "gate", "--settings", path)
package build

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

var program string

// Program returns the path of the binary.
func Program() string { return program }

// Main builds the program, runs the tests, removes it and exits.
func Main(m *testing.M) {
	dir, err := os.MkdirTemp("", "berylledge-built-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "berylledge")
	build := exec.Command("go", "build", "-o", program, "github.com/berylledge/berylledge/cmd/berylledge")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir) // a leftover does no harm
	os.Exit(code)
}
