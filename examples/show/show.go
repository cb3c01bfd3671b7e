// Package show prints the configuration of an example.
//
// Usage:
//
//	func main() { show.Config(config()) }
package show

import (
	"fmt"
	"os"

	"github.com/berylledge/berylledge/pkg/fleet"
)

// Config writes a configuration to standard output. Its problems, if any, go to standard error, and the process exits with 1.
func Config(c *fleet.Config) {
	problems := c.Check()
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		os.Exit(1)
	}
	if _, err := os.Stdout.Write(c.Print()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
