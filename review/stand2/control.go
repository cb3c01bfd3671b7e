package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// httpClient makes a new connection for each call, as operators do that pick another node each time.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 2 * time.Second}

// call sends one request to the control interface and returns the status and the body.
func call(method, url string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := httpClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

func (f *fleet) controlURL(name, path string) string {
	return fmt.Sprintf("http://%s:%d%s", f.nodes[name].ip, controlPort, path)
}

// putConfig sends a configuration to the core machines in turn until one acknowledges it.
func (f *fleet) putConfig(body []byte, most time.Duration) error {
	end := f.clock.Now().Add(most)
	var last string
	for i := 0; f.clock.Now().Before(end); i++ {
		name := fmt.Sprintf("core-%d", i%3+1)
		status, text, err := call(http.MethodPut, f.controlURL(name, "/config"), body)
		if status == http.StatusOK {
			f.rec.note("configuration acknowledged by %s", name)
			return nil
		}
		last = fmt.Sprint(status, " ", string(text), " ", err)
		_ = clock.Sleep(context.Background(), f.clock, 100*time.Millisecond)
	}
	return fmt.Errorf("no acknowledgement of the configuration: %s", last)
}

// waitReady waits until a front answers 200 to the readiness check.
func (f *fleet) waitReady(most time.Duration, names ...string) error {
	end := f.clock.Now().Add(most)
	for _, name := range names {
		for {
			status, _, _ := call(http.MethodGet, fmt.Sprintf("http://%s:%d%s", f.nodes[name].ip, readyPort, wire["ready"]), nil)
			if status == http.StatusOK {
				break
			}
			if f.clock.Now().After(end) {
				return fmt.Errorf("%s is not ready", name)
			}
			_ = clock.Sleep(context.Background(), f.clock, 50*time.Millisecond)
		}
	}
	return nil
}

func (s *scene) sleep(d time.Duration) { _ = clock.Sleep(context.Background(), s.clock, d) }

var leaderLine = regexp.MustCompile(`"leader_changed".*"leader":"([0-9.]+):`)

// leader returns the core machine that leads the control group, by the last line about it in the log of another one.
func (f *fleet) leader() (string, error) {
	for i := 1; i <= 3; i++ {
		text, err := os.ReadFile(filepath.Join(f.folder, fmt.Sprintf("core-%d.log", i)))
		if err != nil {
			return "", err
		}
		found := leaderLine.FindAllStringSubmatch(string(text), -1)
		if len(found) == 0 {
			continue
		}
		ip := found[len(found)-1][1]
		for name, n := range f.nodes {
			if n.ip == ip || n.proxy == ip {
				return name, nil
			}
		}
	}
	return "", errors.New("no leader is known")
}
