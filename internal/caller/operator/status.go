package operator

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/lacewingtally/lacewingtally/internal/api/operatorv1"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// LeaseStatus is the holder of a duty's lease as reported by a daemon.
type LeaseStatus struct {
	Region fleet.Region
	Duty   fleet.Duty
	Holder fleet.MemberID
	Epoch  fleet.Epoch
}

// MemberStatus is the status of a daemon as seen by another daemon.
type MemberStatus struct {
	Member fleet.Member
	// Revision is the newest configuration revision that the member has
	// reported.
	Revision fleet.ConfigRevision
	// HeardAt is when the member answered the status request, zero if it did
	// not.
	HeardAt time.Time
}

// ServerStatus is the status of a backend server as seen by one daemon.
type ServerStatus struct {
	Server  fleet.Server
	Version fleet.WeightVersion
	// Running is the number of requests that the server runs.
	Running int
}

// Status is the state of the fleet as gathered by one daemon.
type Status struct {
	// Revision is the configuration revision that the daemon uses.
	Revision fleet.ConfigRevision
	// ViewConfirmed is whether the daemon may serve requests that need a key.
	ViewConfirmed  bool
	StoreReachable bool
	Members        []MemberStatus
	Servers        []ServerStatus
	Leases         []LeaseStatus
	Workspaces     []WorkspaceStatus
}

// StatusSource returns the current status.
type StatusSource interface {
	Status(ctx context.Context) Status
}

// WorkspaceStatus counts a workspace's running and waiting requests in the cells
// of one daemon, or of all daemons in a Status.
type WorkspaceStatus struct {
	Name    fleet.Workspace
	Running int
	Waiting int
}

// statusMessage returns a status as a protobuf message.
func statusMessage(s Status) *operatorv1.GetStatusResponse {
	m := &operatorv1.GetStatusResponse{
		Revision:       uint64(s.Revision),
		ViewConfirmed:  s.ViewConfirmed,
		StoreReachable: s.StoreReachable,
	}
	for _, x := range s.Members {
		m.Members = append(m.Members, memberMessage(x))
	}
	for _, x := range s.Servers {
		m.Servers = append(m.Servers, serverMessage(x))
	}
	for _, x := range s.Leases {
		m.Leases = append(m.Leases, &operatorv1.Lease{
			Region: string(x.Region),
			Duty:   string(x.Duty),
			Holder: x.Holder.String(),
			Epoch:  uint64(x.Epoch),
		})
	}
	for _, x := range s.Workspaces {
		m.Workspaces = append(m.Workspaces, &operatorv1.Workspace{
			Name:    string(x.Name),
			Running: uint32(x.Running),
			Waiting: uint32(x.Waiting),
		})
	}
	return m
}

func memberMessage(x MemberStatus) *operatorv1.Member {
	m := &operatorv1.Member{
		Address:       x.Member.ID.Address.String(),
		Region:        string(x.Member.Region),
		FailureDomain: string(x.Member.FailureDomain),
		Incarnation:   string(x.Member.ID.Incarnation),
		Revision:      uint64(x.Revision),
	}
	if !x.HeardAt.IsZero() {
		m.HeardAt = timestamppb.New(x.HeardAt)
	}
	return m
}

func serverMessage(x ServerStatus) *operatorv1.Server {
	return &operatorv1.Server{
		ServerId:      string(x.Server.ID),
		Address:       x.Server.Address.String(),
		Region:        string(x.Server.Region),
		FailureDomain: string(x.Server.FailureDomain),
		Pool:          string(x.Server.Pool),
		Kind:          string(x.Server.Kind),
		State:         string(x.Server.State),
		WeightVersion: uint64(x.Version),
		Running:       uint32(x.Running),
	}
}
