package forward

import (
	"cmp"
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// Causes of the refusal of a stream that is taken up.
var (
	errUnknownOrigin = errors.New("forward: software version of the stream is not known")
	errOriginGone    = errors.New("forward: no server of the stream's software version")
)

// retryAfterUnknownOrigin is the delay after which a caller should take a stream up again
// whose origin is not known: by then another daemon's heartbeat may contain it.
const retryAfterUnknownOrigin = 400 * time.Millisecond

const (
	// maxRecordTime bounds the wait until the record of a stream is in the store.
	maxRecordTime = 100 * time.Millisecond
	// maxNameTime bounds the wait until this daemon's row contains a software version, and
	// until the rows of all daemons have been read: in a large fleet after earlyInterval, and in
	// a slow store after the calls that are in progress. lostNameTime is that bound while the
	// store does not answer.
	maxNameTime  = 2 * time.Second
	lostNameTime = 500 * time.Millisecond
)

// nameTime returns the bound of a wait for the daemons' rows.
func (c *call) nameTime() time.Duration {
	if c.fleet.Reachable() {
		return maxNameTime
	}
	return lostNameTime
}

// findOrigin determines the software version that can continue the stream that the caller
// takes up, if it does. It returns a refusal if that version is not known although there
// are several, or if none of its servers is left.
func (c *call) findOrigin(ctx context.Context) error {
	if _, known := c.software.Get(); known || c.request.ResumeAfter == 0 {
		return nil
	}
	k := c.streamKey()
	versions, complete := c.origins.software(k)
	versions = addVersions(versions, c.fleet.StreamSoftware(uint64(k)))
	known := len(versions) > 0
	if !known {
		versions, known = c.searchOrigin(ctx, k, complete)
	}
	if len(versions) != 1 {
		return refusal.NotRun(refusal.ReasonNoServer, time.Now().Add(retryAfterUnknownOrigin), errUnknownOrigin)
	}
	software := versions[0]
	c.logTakenUp(software, known)
	c.software = option.Some(software)
	switch {
	case c.hasServer():
	case c.evacuated():
		return refusal.NotRun(refusal.ReasonEvacuated, time.Now().Add(retryAfterEvacuated), errOriginGone)
	default:
		return refusal.NotRun(refusal.ReasonNoServer, time.Time{}, errOriginGone)
	}
	return nil
}

// searchOrigin determines the software versions that began a stream which is in no row that this daemon
// has read. known is whether another daemon told; otherwise they are inferred. If that fails although one
// version is known here, this daemon may be out of step, and the others know more.
func (c *call) searchOrigin(ctx context.Context, k streamKey, notHere bool) (versions []string, known bool) {
	var notAt set.Set[netip.AddrPort]
	mixed := c.fleet.MixedSoftware(c.service)
	if mixed {
		if versions, notAt = c.queryOrigin(ctx, k); len(versions) > 0 {
			return versions, true
		}
	}
	if versions = c.inferOrigin(ctx, k, notAt, notHere); len(versions) > 0 || mixed {
		return versions, false
	}
	versions, _ = c.queryOrigin(ctx, k)
	return versions, len(versions) > 0
}

// inferOrigin returns the software versions at which a stream can have begun whose record may
// have been lost with its daemon. The stream can continue if there is exactly one. A daemon's row
// contains a version before the daemon begins a stream at it, so that rows read from now on
// suffice. notAt and notHere are as in fleet.State.PossibleSoftware.
func (c *call) inferOrigin(ctx context.Context, k streamKey, notAt set.Set[netip.AddrPort], notHere bool) []string {
	versions, ok := c.fleet.PossibleSoftware(c.service, notAt, notHere)
	if !ok || len(versions) != 1 || !c.fleet.AwaitMembers(ctx, c.nameTime()) {
		return nil
	}
	if recorded := c.fleet.StreamSoftware(uint64(k)); len(recorded) > 0 {
		return recorded
	}
	versions, _ = c.fleet.PossibleSoftware(c.service, notAt, notHere)
	return versions
}

// logTakenUp logs that a stream is taken up, and which software version began it, if that is
// known.
func (c *call) logTakenUp(software string, known bool) {
	c.log.Info("stream taken up", zap.String("Request", c.request.ID), zap.String("Resumes", c.request.Resumes),
		zap.Int("After", c.request.ResumeAfter), zap.Bool("Known", known), zap.String("Software", software))
}

// recordOrigin records that a server with a software version has sent an event, before the
// event is passed on: the caller may take the stream up elsewhere as soon as it has it. While
// several versions serve, it waits until the record is in the store, which survives all
// daemons.
func (c *call) recordOrigin(ctx context.Context, software string) {
	if c.recorded {
		return
	}
	c.recorded = true
	c.software = option.Some(software)
	c.origins.record(c.streamKey(), c.service, software)
	if c.route.Resumable && c.request.Resumes == "" && c.fleet.MixedSoftware(c.service) {
		c.fleet.AwaitHeartbeat(ctx, maxRecordTime)
	}
}

// streamKey returns the key of the stream: that of the attempt that brought its first
// event.
func (c *call) streamKey() streamKey {
	return streamKeyOf(c.request.Workspace, cmp.Or(c.request.Resumes, c.request.ID))
}

// mayBeTakenUp reports whether the stream begins here and may be taken up at other daemons. It must
// then not begin at a software version that this daemon's row does not name: the others would take it for
// one that began at another version.
func (c *call) mayBeTakenUp() bool {
	return c.route.Resumable && c.request.Resumes == ""
}

// chooseForStream chooses the server of the next attempt: one of a named version if there is any, as
// a row may take long while this daemon is cut off from the store.
func (c *call) chooseForStream() (backend.Server, bool) {
	servers := c.fleet.Servers().List
	if c.mayBeTakenUp() {
		named := func(s backend.Server) bool { return c.mayTry(s) && c.fleet.Named(s.Service, s.Software) }
		if s, ok := c.balancer.Choose(servers, c.service, named); ok {
			return s, true
		}
	}
	return c.balancer.Choose(servers, c.service, c.mayTry)
}

// awaitNamed waits until this daemon's row names the software version of a server, if it must.
func (c *call) awaitNamed(ctx context.Context, s backend.Server) error {
	if !c.mayBeTakenUp() {
		return nil
	}
	if c.unnamed.Contains(s.Software) || !c.fleet.AwaitNamed(ctx, s.Service, s.Software, c.nameTime()) {
		c.unnamed.Add(s.Software)
		return errors.Wrap(backend.ErrNotSent, "software version is not in this daemon's row")
	}
	return nil
}
