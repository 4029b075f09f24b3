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

// origin is what began a stream: a version of the software of a service's servers.
type origin struct {
	service, software string
	until             time.Time
}

// origins remembers the software versions that began streams, so that callers can take
// them up. The zero value is empty. Its methods may be called from any goroutine.
type origins struct {
	mutex  sync.Mutex
	recent *simplelru.LRU[streamKey, origin]
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
		o.recent, _ = simplelru.NewLRU[streamKey, origin](maxOrigins, nil)
	}
	o.recent.Add(k, origin{service: service, software: software, until: time.Now().Add(originRetention)})
}

// software returns the software version that began a stream; false if it is not known.
func (o *origins) software(k streamKey) (string, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.recent == nil {
		return "", false
	}
	v, ok := o.recent.Peek(k)
	return v.software, ok && time.Now().Before(v.until)
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
			out[v.software] = append(out[v.software], uint64(k))
		}
	}
	return out
}

// Streams returns the recent streams of this daemon by the software version that began
// them, of the services whose servers run several versions. They are sent to the other
// daemons.
func (f *Forwarder) Streams() map[string][]uint64 {
	return f.origins.report(f.fleet.MixedSoftware)
}
