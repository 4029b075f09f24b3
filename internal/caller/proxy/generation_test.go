package proxy_test

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	standengine "github.com/lacewingtally/lacewingtally/internal/standin/engine"
)

func TestGenerateComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{engines: 2})
		defer f.close()
		text, err := f.generate(0, key, "how hot is oven two", nil)
		must.NoError(t, err)
		must.EqOp(t, standengine.Text("how hot is oven two", 7, 0, tokens), text)
	})
}

func TestGenerateResumes(t *testing.T) {
	for _, kind := range []standengine.FaultKind{
		standengine.FaultCrash, standengine.FaultWrongAttempt, standengine.FaultCut, standengine.FaultDuplicate,
		standengine.FaultError, standengine.FaultNoEnd, standengine.FaultRefuse, standengine.FaultHang,
		standengine.FaultSkip,
	} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, fixtureOptions{engines: 2})
				defer f.close()
				f.engines[0].SetFaults(standengine.Fault{Kind: kind, After: 5})
				text, err := f.generate(0, key, "ovens", nil)
				must.NoError(t, err)
				must.EqOp(t, standengine.Text("ovens", 7, 0, tokens), text)
			})
		})
	}
}

func TestGenerateRefusesKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{engines: 1})
		defer f.close()
		_, err := f.generate(0, "no such key", "ovens", nil)
		r := refusalOf(t, err)
		must.EqOp(t, callerv1.Refusal_KIND_NOT_RUN, r.Kind)
		must.EqOp(t, string(refusal.ReasonKey), r.Reason)
		_, err = f.generate(0, key, "my key is "+key, nil)
		must.EqOp(t, string(refusal.ReasonKey), refusalOf(t, err).Reason)
		must.False(t, bytes.Contains(f.engines[0].Received(), []byte(key)))
	})
}

func TestWithdrawnKeyCutsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{engines: 1, engine: []standengine.Option{standengine.WithTokensPerSecond(10)}})
		defer f.close()
		var withdrawn time.Time
		_, err := f.generate(0, key, "ovens", func(m *callerv1.GenerateResponse) {
			if m.Offset != 4 {
				return
			}
			withdrawn = time.Now()
			f.source.Change(func(s *view.State) {
				c := document()
				c.Keys[0].WithdrawnAt = time.Now()
				s.Config = config.NewSnapshot(c)
			})
		})
		r := refusalOf(t, err)
		must.EqOp(t, callerv1.Refusal_KIND_MAY_HAVE_RUN, r.Kind)
		must.EqOp(t, string(refusal.ReasonKey), r.Reason)
		must.EqOp(t, withdrawn, time.Now())
	})
}

func TestUnconfirmedViewCutsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{engines: 1, engine: []standengine.Option{standengine.WithTokensPerSecond(1)}})
		defer f.close()
		until := time.Now().Add(2500 * time.Millisecond)
		f.source.Change(func(s *view.State) { s.ConfirmedUntil = until })
		_, err := f.generate(0, key, "ovens", nil)
		must.EqOp(t, string(refusal.ReasonUnconfirmed), refusalOf(t, err).Reason)
		must.EqOp(t, until, time.Now())
		_, err = f.generate(0, key, "ovens", nil)
		r := refusalOf(t, err)
		must.EqOp(t, callerv1.Refusal_KIND_NOT_RUN, r.Kind)
		must.Positive(t, r.RetryAfter.AsDuration())
	})
}
