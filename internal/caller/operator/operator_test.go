package operator

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/operatorv1"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

const key = "operators-key"

func TestMain(m *testing.M) {
	suite.Main(m)
}

// fakes implements the dependencies of a handler other than the store.
type fakes struct {
	pending []fleet.Region
	err     error
}

func (f *fakes) Confirm(context.Context, fleet.ConfigRevision) ([]fleet.Region, error) {
	return f.pending, f.err
}

func (f *fakes) Events(context.Context, time.Time, int) ([]timeline.Event, []netip.AddrPort) {
	return []timeline.Event{{Kind: timeline.Started}}, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.3:1")}
}

func (f *fakes) Status(context.Context) Status {
	return Status{Revision: 7, Members: []MemberStatus{{Revision: 7}}, Servers: []ServerStatus{{Running: 2}}, Leases: []LeaseStatus{{Epoch: 3}}, Workspaces: []WorkspaceStatus{{Waiting: 4}}}
}

type fixture struct {
	fakes  fakes
	table  table.Memory
	log    *timeline.Log
	client operatorv1.OperatorServiceClient
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{log: timeline.New("a", "1")}
	mux := http.NewServeMux()
	mux.Handle(New(Dependencies{
		Confirmer: &f.fakes,
		Events:    &f.fakes,
		Recorder:  f.log,
		Status:    &f.fakes,
		Store:     config.Store{Table: &f.table},
	}, config.HashKey(key)))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	f.client = operatorv1.NewOperatorServiceClient(s.Client(), s.URL)
	return f
}

func request[T any](m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set(authorization, bearerPrefix+key)
	return r
}

func (f *fixture) apply(t *testing.T, base uint64, yaml string) (*operatorv1.ApplyConfigResponse, error) {
	t.Helper()
	a, err := f.client.ApplyConfig(t.Context(), request(&operatorv1.ApplyConfigRequest{
		Base: base, Yaml: yaml, Operator: "ana", Reason: "test",
	}))
	if err != nil {
		return nil, err
	}
	return a.Msg, nil
}

func TestKeyIsRequired(t *testing.T) {
	f := newFixture(t)
	for _, h := range []string{"", "Bearer ", "Bearer wrong", key, "Bearer " + config.HashKey(key)} {
		r := connect.NewRequest(&operatorv1.GetStatusRequest{})
		r.Header().Set(authorization, h)
		_, err := f.client.GetStatus(t.Context(), r)
		must.Eq(t, connect.CodeUnauthenticated, connect.CodeOf(err))
	}
	_, err := f.client.GetStatus(t.Context(), request(&operatorv1.GetStatusRequest{}))
	must.NoError(t, err)
}

func TestApply(t *testing.T) {
	f := newFixture(t)
	a, err := f.apply(t, 0, "Workspaces: [{Name: bakers}]")
	must.NoError(t, err)
	must.Eq(t, 1, a.GetRevision())
	must.True(t, a.GetInForce())

	f.fakes.pending = []fleet.Region{"lima-centro"}
	a, err = f.apply(t, 1, "Workspaces: [{Name: bakers}, {Name: caterers}]")
	must.NoError(t, err)
	must.False(t, a.GetInForce())
	must.Eq(t, []string{"lima-centro"}, a.GetPendingRegions())

	f.fakes.pending, f.fakes.err = nil, errors.New("region unreachable")
	a, err = f.apply(t, 2, "Workspaces: [{Name: bakers}]")
	must.NoError(t, err)
	must.False(t, a.GetInForce())
	must.Eq(t, 3, a.GetRevision())

	h, err := f.client.ListConfig(t.Context(), request(&operatorv1.ListConfigRequest{Limit: 2}))
	must.NoError(t, err)
	must.Len(t, 2, h.Msg.GetRevisions())
	must.Eq(t, 3, h.Msg.GetRevisions()[0].GetRevision())

	g, err := f.client.GetConfig(t.Context(), request(&operatorv1.GetConfigRequest{Revision: 2}))
	must.NoError(t, err)
	must.StrContains(t, g.Msg.GetYaml(), "caterers")
	g, err = f.client.GetConfig(t.Context(), request(&operatorv1.GetConfigRequest{}))
	must.NoError(t, err)
	must.Eq(t, 3, g.Msg.GetRevision())
}

func TestApplyRefused(t *testing.T) {
	f := newFixture(t)
	_, err := f.apply(t, 0, "Workspaces: [{Name: bakers}]")
	must.NoError(t, err)
	for _, c := range []struct {
		name, yaml string
		base       uint64
		fault      table.Fault
		code       connect.Code
		text       string
	}{
		{name: "raced", yaml: "{}", base: 0, code: connect.CodeAborted, text: "Workspaces/bakers"},
		{name: "unknown field", yaml: "Nodes: []", base: 1, code: connect.CodeInvalidArgument, text: "line 1"},
		{name: "no reason for an exception", yaml: "Workspaces: [{Name: b}]\nExceptions: [{Workspace: b, Setting: Weight, Value: 2}]", base: 1, code: connect.CodeInvalidArgument, text: "Reason"},
		{name: "nothing changes", yaml: "Workspaces: [{Name: bakers}]", base: 1, code: connect.CodeFailedPrecondition},
		{name: "store down", yaml: "{}", base: 1, fault: table.FaultUnavailable, code: connect.CodeUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			f.table.Fault = func(bool, []table.Key) table.Fault { return c.fault }
			_, err := f.apply(t, c.base, c.yaml)
			must.Eq(t, c.code, connect.CodeOf(err))
			must.StrContains(t, err.Error(), c.text)
			must.Len(t, 1, f.log.Events(time.Time{}, 10))
		})
	}
}

func TestApplyUnknownOutcome(t *testing.T) {
	f := newFixture(t)
	lost := false
	f.table.Fault = func(commit bool, _ []table.Key) table.Fault {
		if commit {
			lost = true
			return table.FaultAnswerLost
		}
		if lost {
			return table.FaultUnavailable
		}
		return 0
	}
	_, err := f.apply(t, 0, "Workspaces: [{Name: bakers}]")
	must.Eq(t, connect.CodeUnknown, connect.CodeOf(err))
}

func TestApplyWithoutReason(t *testing.T) {
	f := newFixture(t)
	_, err := f.client.ApplyConfig(t.Context(), request(&operatorv1.ApplyConfigRequest{Yaml: "{}", Operator: "ana"}))
	must.Eq(t, connect.CodeInvalidArgument, connect.CodeOf(err))
}

func TestStatusAndEvents(t *testing.T) {
	f := newFixture(t)
	s, err := f.client.GetStatus(t.Context(), request(&operatorv1.GetStatusRequest{}))
	must.NoError(t, err)
	must.Eq(t, 7, s.Msg.GetRevision())
	must.Nil(t, s.Msg.GetMembers()[0].GetHeardAt())
	must.Eq(t, 2, s.Msg.GetServers()[0].GetRunning())
	must.Eq(t, 3, s.Msg.GetLeases()[0].GetEpoch())
	must.Eq(t, 4, s.Msg.GetWorkspaces()[0].GetWaiting())
	e, err := f.client.ListEvents(t.Context(), request(&operatorv1.ListEventsRequest{}))
	must.NoError(t, err)
	must.Len(t, 1, e.Msg.GetEvents())
	must.Eq(t, []string{"127.0.0.3:1"}, e.Msg.GetUnreachable())
}
