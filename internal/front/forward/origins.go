package forward

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// originRetention is how long the origin of a stream is remembered after its last
	// attempt began: callers take a stream up within their deadline.
	originRetention = time.Minute
	// maxOrigins is the maximum number of streams whose origins are remembered, the most
	// recent ones.
	maxOrigins = 4096
	// maxReportedOrigins limits the origins in a heartbeat, which must fit one row.
	maxReportedOrigins = 2048
)

// streamKey identifies a stream by its caller's workspace and the ID of the attempt that
// brought its first event.
type streamKey uint64

// origin is what began a stream: a version of the software of a service's servers. There are
// several versions if the ID was used again.
type origin struct {
	service  string
	software []string
	until    time.Time
}

// origins remembers the software versions that began streams, so that callers can take
// them up. The zero value is empty. Its methods may be called from any goroutine.
type origins struct {
	mutex  sync.Mutex
	recent *simplelru.LRU[streamKey, origin]
	// droppedUntil is the latest expiry of a record that was dropped for lack of space.
	droppedUntil time.Time
}

func streamKeyOf(workspace, id string) streamKey {
	return streamKey(xxhash.Sum64String(workspace + "\x00" + id))
}

// record records the origin of a stream.
func (o *origins) record(k streamKey, service, software string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.recent == nil {
		// The size is positive, so that there is no error.
		o.recent, _ = simplelru.NewLRU(maxOrigins, func(_ streamKey, v origin) {
			if v.until.After(o.droppedUntil) {
				o.droppedUntil = v.until
			}
		})
	}
	now := time.Now()
	versions := []string{software}
	if v, ok := o.recent.Peek(k); ok && now.Before(v.until) {
		for _, other := range v.software {
			if other != software {
				versions = append(versions, other)
			}
		}
	}
	o.recent.Add(k, origin{service: service, software: versions, until: now.Add(originRetention)})
}

// software returns the software versions that began a stream; none if it has no record.
// complete is whether no record of a stream within originRetention has been dropped.
func (o *origins) software(k streamKey) (versions []string, complete bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	complete = !now.Before(o.droppedUntil)
	if o.recent == nil {
		return nil, complete
	}
	v, ok := o.recent.Peek(k)
	if !ok || !now.Before(v.until) {
		return nil, complete
	}
	return v.software, complete
}

// report returns the streams by the software version that began them, of those services
// for which mixed returns true.
func (o *origins) report(mixed func(service string) bool) map[string][]uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.recent == nil {
		return nil
	}
	now := time.Now()
	out := make(map[string][]uint64)
	// The keys are sorted from the oldest to the newest.
	keys := o.recent.Keys()
	for _, k := range keys[max(0, len(keys)-maxReportedOrigins):] {
		if v, _ := o.recent.Peek(k); now.Before(v.until) && mixed(v.service) {
			for _, software := range v.software {
				out[software] = append(out[software], uint64(k))
			}
		}
	}
	return out
}

// Streams returns the recent streams of this daemon by the software version that began
// them, of the services whose servers run several versions. They are sent to the other
// daemons.
func (f *Forwarder) Streams() map[string][]uint64 {
	mixed := make(map[string]bool)
	return f.origins.report(func(service string) bool {
		v, ok := mixed[service]
		if !ok {
			v = f.fleet.MixedSoftware(service)
			mixed[service] = v
		}
		return v
	})
}
