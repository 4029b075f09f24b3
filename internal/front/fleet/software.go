package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// softwareRetention is for how long a software version counts as in use after its last
// server was seen: longer than a stream may last.
const softwareRetention = time.Minute

// softwareVersions are the software versions of the servers of each service, with the
// uptime at which each was last seen. The zero value is empty.
type softwareVersions map[string]map[string]time.Duration

func (v softwareVersions) record(service, software string, at time.Duration) {
	if v[service] == nil {
		v[service] = make(map[string]time.Duration)
	}
	v[service][software] = at
}

// recent returns the versions of a service that are in use.
func (v softwareVersions) recent(service string, now time.Duration) []string {
	var out []string
	for software, at := range v[service] {
		if now-at < softwareRetention {
			out = append(out, software)
		}
	}
	return out
}

// MixedSoftware reports whether the servers of a service may run several software versions:
// they do, or did so lately, according to the servers' rows or to other daemons, or the rows
// of these are not known yet.
func (f *State) MixedSoftware(service string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.reportedSoftware == nil || len(f.knownSoftware(service)) > 1
}

// knownSoftware returns the software versions of a service that are in use according to the
// servers' rows or to other daemons. It is called with the mutex held.
func (f *State) knownSoftware(service string) []string {
	out := f.ownSoftware(service)
	for _, v := range f.reportedSoftware.recent(service, Uptime()) {
		if !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}

// ownSoftware returns the software versions of a service that are in use according to the
// servers' rows. It is called with the mutex held.
func (f *State) ownSoftware(service string) []string {
	out := f.software.recent(service, Uptime())
	for _, s := range f.listed.List {
		if s.Service == service && !slices.Contains(out, s.Software) {
			out = append(out, s.Software)
		}
	}
	return out
}

// Software returns the software versions that this daemon has seen in the servers' rows
// lately, of the services that have several.
func (f *State) Software() map[string][]string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	out := make(map[string][]string)
	for service := range f.software {
		if versions := f.ownSoftware(service); len(versions) > 1 {
			out[service] = versions
		}
	}
	return out
}

// SoftwareInUse returns the software versions that this daemon has seen in the servers' rows
// lately, of the services with streams that may be resumed.
func (f *State) SoftwareInUse() map[string][]string {
	out := make(map[string][]string)
	c := f.Config()
	if c == nil {
		return out
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, r := range c.Routes {
		if r.Kind != route.Stream || !r.Resumable {
			continue
		}
		for _, s := range r.Services {
			out[s.Service] = f.ownSoftware(s.Service)
		}
	}
	return out
}

// StreamSoftware returns the software versions that began a stream, according to the rows of
// daemons, also of those that have ended: none if no row contains it, and several if its ID
// was used again.
func (f *State) StreamSoftware(stream uint64) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.streams[stream]
}

// PossibleSoftware returns the software versions at which a stream of a service can have begun
// that no row contains; false if that is not known. The daemons at the addresses in notAt, and
// this one if notHere is set, did not begin it.
func (f *State) PossibleSoftware(service string, notAt set.Set[netip.AddrPort], notHere bool) ([]string, bool) {
	self := f.beats.id()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.reportedSoftware == nil {
		return nil, false
	}
	known := f.knownSoftware(service)
	if len(known) < 2 {
		notHere = false
	}
	var out []string
	for _, m := range f.Members().Ended {
		if !m.NamesSoftware {
			return nil, false
		}
		out = append(out, m.InUse[service]...)
	}
	for _, m := range f.Members().List {
		if m.ID == self || notAt.Contains(m.Address) {
			continue
		}
		if !m.NamesSoftware && len(known) > 1 {
			return nil, false
		}
		out = append(out, m.InUse[service]...)
	}
	if !notHere {
		out = append(out, known...)
	}
	slices.Sort(out)
	return slices.Compact(out), true
}

// recordSoftware records the software versions of servers. It is called with the mutex
// held.
func (f *State) recordSoftware(servers []backend.Server) {
	if f.software == nil {
		f.software = make(softwareVersions)
	}
	now := Uptime()
	for _, s := range servers {
		f.software.record(s.Service, s.Software, now)
	}
}

// recordReportedSoftware records what the rows of all daemons contain about software
// versions and streams.
func (f *State) recordReportedSoftware(members []Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.reportedSoftware == nil {
		f.reportedSoftware = make(softwareVersions)
	}
	now := Uptime()
	f.streams = make(map[uint64][]string)
	for _, m := range members {
		for _, reported := range []map[string][]string{m.Software, m.InUse} {
			for service, versions := range reported {
				for _, v := range versions {
					f.reportedSoftware.record(service, v, now)
				}
			}
		}
		for software, streams := range m.Streams {
			for _, s := range streams {
				if !slices.Contains(f.streams[s], software) {
					f.streams[s] = append(f.streams[s], software)
				}
			}
		}
	}
}
