// Package telemetry gives a daemon its log, its metrics and the endpoints that
// the balancer and the scraper ask.
package telemetry

// Names of the metrics, the closed list. Scrapers see them with the prefix
// "lacewingtally_".
const (
	// BadFrames counts peer connections closed because a frame did not decode.
	BadFrames Name = "bad_frames"
	// ConfigRevision is the newest configuration revision known.
	ConfigRevision Name = "config_revision"
	// Events counts events of the time line, by kind.
	Events Name = "events"
	// EventsDropped counts events that were not written out.
	EventsDropped Name = "events_dropped"
	// Leases is 1 for each duty that this daemon holds, by duty.
	Leases Name = "leases"
	// Members is the number of live daemons known.
	Members Name = "members"
	// PeerBytesRead counts bytes read from other daemons.
	PeerBytesRead Name = "peer_bytes_read"
	// PeerBytesWritten counts bytes written to other daemons.
	PeerBytesWritten Name = "peer_bytes_written"
	// Ready is 1 while the readiness endpoint says so.
	Ready Name = "ready"
	// Refusals counts refused requests, by reason.
	Refusals Name = "refusals"
	// RequestSeconds is a histogram of the time that callers' requests took.
	RequestSeconds Name = "request_seconds"
	// Requests counts callers' requests, by procedure and status.
	Requests Name = "requests"
	// Running is the number of callers' requests running now.
	Running Name = "running"
	// Servers is the number of backend servers known that are not leaving.
	Servers Name = "servers"
	// ViewConfirmed is 1 while the daemon may do keyed work.
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

// Names returns the closed list of metrics, in order.
func Names() []Name {
	return []Name{
		BadFrames, ConfigRevision, Events, EventsDropped, Leases, Members, PeerBytesRead, PeerBytesWritten,
		Ready, Refusals, RequestSeconds, Requests, Running, Servers, ViewConfirmed,
	}
}
