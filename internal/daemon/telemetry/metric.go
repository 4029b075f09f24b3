// Package telemetry provides the logger and the metrics of a daemon, and the
// HTTP endpoints for health, readiness and metrics.
package telemetry

// Names of all metrics. They are exported with the prefix "lacewingtally_".
const (
	// BadFrames counts peer connections closed because a frame did not decode.
	BadFrames Name = "bad_frames"
	// ConfigRevision is the newest configuration revision that the daemon has.
	ConfigRevision Name = "config_revision"
	// Events counts time line events, by kind.
	Events Name = "events"
	// EventsDropped counts events that were dropped before they were written.
	EventsDropped Name = "events_dropped"
	// Leases is 1 for each duty that this daemon holds, by duty.
	Leases Name = "leases"
	// Members is the number of daemons in the current member set.
	Members Name = "members"
	// PeerBytesRead counts bytes read from other daemons.
	PeerBytesRead Name = "peer_bytes_read"
	// PeerBytesWritten counts bytes written to other daemons.
	PeerBytesWritten Name = "peer_bytes_written"
	// Ready is 1 while the readiness endpoint reports ready.
	Ready Name = "ready"
	// Refusals counts refused requests, by reason.
	Refusals Name = "refusals"
	// RequestSeconds is a histogram of the duration of callers' requests.
	RequestSeconds Name = "request_seconds"
	// Requests counts callers' requests, by procedure and status.
	Requests Name = "requests"
	// Running is the number of callers' requests that are running.
	Running Name = "running"
	// Servers is the number of backend servers that are not leaving.
	Servers Name = "servers"
	// ViewConfirmed is 1 while the daemon may serve requests that need a key.
	ViewConfirmed Name = "view_confirmed"
)

// Tags of metrics.
const (
	tagDuty      = "duty"
	tagKind      = "kind"
	tagProcedure = "procedure"
	tagReason    = "reason"
	tagStatus    = "status"
)

// Name is the name of a metric.
type Name string

// Names returns the names of all metrics, sorted.
func Names() []Name {
	return []Name{
		BadFrames, ConfigRevision, Events, EventsDropped, Leases, Members, PeerBytesRead, PeerBytesWritten,
		Ready, Refusals, RequestSeconds, Requests, Running, Servers, ViewConfirmed,
	}
}
