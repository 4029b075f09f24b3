package wave_test

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/wave"
)

func servers(versions ...int) []wave.Server {
	var out []wave.Server
	for i, v := range versions {
		out = append(out, wave.Server{ID: strconv.Itoa(i), Version: v})
	}
	return out
}

func TestHalfLoadsTheFirstVersion(t *testing.T) {
	s := servers(1, 1, 1, 1)
	must.Eq(t, []string{"0", "1"}, wave.Pick(s, 2))
	s[0].Loading, s[1].Loading = true, true
	must.SliceEmpty(t, wave.Pick(s, 2))
	s = servers(2, 2, 1, 1)
	must.SliceEmpty(t, wave.Pick(s, 2))
}

func TestThoseTwoBehindLoadNext(t *testing.T) {
	must.Eq(t, []string{"2", "3"}, wave.Pick(servers(2, 2, 1, 1), 3))
	must.Eq(t, []string{"0", "1"}, wave.Pick(servers(2, 2, 3, 3), 4))
}

func TestNoMoreLoadThanMayAtOnce(t *testing.T) {
	s := servers(1, 1, 1, 1, 1, 1, 1, 1, 1)
	s[0].Loading = true
	must.Len(t, 1, wave.Pick(s, 3))
}
