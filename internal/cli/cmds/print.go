package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os/signal"
	"strings"
	"syscall"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/node/admin"
	"github.com/berylledge/berylledge/pkg/caller"
)

func printToken(out io.Writer, data []byte) {
	var t caller.Token
	if json.Unmarshal(data, &t) == nil {
		_, _ = io.WriteString(out, t.Text)
	}
}

// printTimeline writes events of several processes in the order of their hybrid clocks.
func printTimeline(out io.Writer, events []event.Event) {
	admin.SortEvents(events)
	for _, e := range events {
		fields := make([]string, len(e.Fields))
		for i, f := range e.Fields {
			fields[i] = f.Name + "=" + f.Value
		}
		fmt.Fprintf(out, "%s %-10s %d %-18s %s\n", e.Stamp.Time().Format("15:04:05.000000"), e.Node, e.Code, e.Name, strings.Join(fields, " "))
	}
}

// secondSignal returns a context that ends with the next signal.
func secondSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	var out []string
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errNoPort, err)
		}
		listeners = append(listeners, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}
