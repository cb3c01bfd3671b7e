// Command berylledge serves multi-stage model pipelines; see `berylledge --help`.
package main

import (
	"context"
	"os"

	"github.com/berylledge/berylledge/internal/cli/cmds"
	"github.com/berylledge/berylledge/platform"
)

func main() {
	dialects := cmds.Dialects{"platform": platform.Dialect}
	os.Exit(cmds.Main(context.Background(), os.Args, os.Stdout, os.Stderr, dialects))
}
