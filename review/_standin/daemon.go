package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is the program that the deploy file builds.
const program = "target/lacewingtally"

// daemon is a process of the system on an address of its own.
type daemon struct {
	name, file   string
	front, ready string
	command      *exec.Cmd
	ended        chan struct{}
}

// deployment is the platform with some daemons.
type deployment struct {
	dir     string
	store   *store
	cloud   *cloud
	daemons []*daemon
}

// newDeployment starts a store and a usage API.
func newDeployment() *deployment {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal("%v", err)
	}
	d := &deployment{dir: dir}
	current = d
	if d.store, err = newStore(); err != nil {
		fatal("%v", err)
	}
	if d.cloud, err = newCloud(); err != nil {
		fatal("%v", err)
	}
	return d
}

// freePorts returns loopback addresses that are free.
func freePorts(n int) []string {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fatal("%v", err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

// start starts a number of daemons and waits until all are ready. Their settings are those
// of deploy/settings.yaml, filled in as for a small deployment.
func (d *deployment) start(count int) {
	all := freePorts(4 * count)
	var seeds []string
	for i := range min(3, count) {
		seeds = append(seeds, `"`+all[4*i+2]+`"`)
	}
	zones := []string{"praha-a", "praha-b", "kladno"}
	for i := range count {
		p := all[4*i : 4*i+4]
		zone := zones[i%len(zones)]
		m := &daemon{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), front: p[0], ready: p[1]}
		m.file = filepath.Join(d.dir, m.name+".yaml")
		text := fmt.Sprintf("Machine: %s\nDomain: %s\nListen:\n  Callers: %s\n  Ready: %s\n  Peers: %s\n  Metrics: %s\nSeeds: [%s]\n"+
			"Store: %s\nCloud: %s\nCoreShare: 0.8\nMemoryMB: 344\nBounds:\n  Grace: 8s\n  LeaseTerm: 3000ms\n  UsageWindow: 5s\n"+
			"  UsageLate: 10s\n  KeepResults: 120s\n",
			m.name, zone, p[0], p[1], p[2], p[3], strings.Join(seeds, ","), d.store.address, d.cloud.address)
		if err := os.WriteFile(m.file, []byte(text), 0o600); err != nil {
			fatal("%v", err)
		}
		d.daemons = append(d.daemons, m)
		d.run(m)
	}
	for _, m := range d.daemons {
		m.awaitReady()
	}
	record("daemons", "%d daemons are ready", count)
}

// run starts the process of a daemon.
func (d *deployment) run(m *daemon) {
	out, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		fatal("%v", err)
	}
	c := exec.Command(program, "front", "--settings", m.file)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "LACEWINGTALLY_BOOT=" + m.file}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		fatal("%v", err)
	}
	m.command, m.ended = c, make(chan struct{})
	go func(ended chan struct{}) {
		_ = c.Wait()
		_ = out.Close()
		close(ended)
	}(m.ended)
}

// kill kills the process of a daemon and waits for its end.
func (m *daemon) kill() {
	_ = m.command.Process.Signal(syscall.SIGKILL)
	<-m.ended
}

func (m *daemon) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready+"/api/ready", nil)
		resp, err := http.DefaultClient.Do(r)
		cancel()
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	fatal("%s is not ready", m.name)
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, m := range d.daemons {
		if m.command != nil {
			m.kill()
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		fmt.Println("logs are in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// cloud is a stand-in for the platform's API; it accepts all calls.
type cloud struct{ address string }

func newCloud() (*cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	go func() { _ = http.Serve(l, h) }()
	return &cloud{address: l.Addr().String()}, nil
}
