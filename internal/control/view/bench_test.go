package view_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
)

func benchmarkView(n int) (*view.View, view.Echo, time.Time) {
	now := time.Now()
	names := make([]string, 0, n)
	for i := range n {
		names = append(names, fmt.Sprintf("%04d", i))
	}
	v := &view.View{Self: daemon(names[0]), Region: "r"}
	v.TookConfig(now, 1)
	v.TookSet(now, setOf(1, names...))
	e := echo(names[1], 1, 1)
	e.Ages = make([]byte, n)
	return v, e, now
}

// BenchmarkHeard processes one answer with the contact ages of all members.
func BenchmarkHeard(b *testing.B) {
	for _, n := range []int{9, 36, 90, 180, 360} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, e, now := benchmarkView(n)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				v.Heard(now, now, e)
			}
		})
	}
}

// BenchmarkEcho builds one answer to a ping.
func BenchmarkEcho(b *testing.B) {
	for _, n := range []int{9, 36, 90, 180, 360} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, e, now := benchmarkView(n)
			v.Heard(now, now, e)
			b.ReportAllocs()
			for b.Loop() {
				_ = v.Echo(now)
			}
		})
	}
}

// BenchmarkConfirmed checks whether a published state is still confirmed.
func BenchmarkConfirmed(b *testing.B) {
	s := &view.State{ConfirmedUntil: time.Now().Add(time.Hour)}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		if !s.Confirmed(now) {
			b.Fatal("not confirmed")
		}
	}
}

// BenchmarkKey looks up one of 10,000 keys.
func BenchmarkKey(b *testing.B) {
	c := config.Config{Workspaces: []config.Workspace{{Name: "w"}}}
	for i := range 10_000 {
		c.Keys = append(c.Keys, config.Key{Hash: config.HashKey(fmt.Sprint(i)), Workspace: "w"})
	}
	s := config.NewSnapshot(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Workspace("5000"); !ok {
			b.Fatal("not found")
		}
	}
}
