// Package platform is a small stand-in for the platform's services: object
// store, ordering interface, usage reports, VM list and weight store.
package platform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/fake"
	"github.com/lacewingtally/lacewingtally/internal/platform/object"
	"github.com/lacewingtally/lacewingtally/internal/platform/order"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
	"github.com/lacewingtally/lacewingtally/internal/platform/usage"
	"github.com/lacewingtally/lacewingtally/internal/platform/vmlist"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
)

// Paths used by scripts and tests, in addition to those of the services.
const (
	// PathFault sets the fault of one service; PUT with a Fault.
	PathFault = "/fault"
	// PathOrders lists the received orders.
	PathOrders = "/orders"
	// PathReports lists the received usage reports.
	PathReports = "/reports"
	// PathVMs replaces the VM list; PUT with a vmlist.List.
	PathVMs = "/vms"
)

// Fault injects a fault into the calls of one service.
type Fault struct {
	// Service is Objects, Orders, Usage, VMList or Weights.
	Service string
	// Fault is the fault to inject; empty clears it.
	Fault fake.Fault
}

// Platform holds the services. The zero value is ready to use and holds no data.
type Platform struct {
	Objects object.Memory
	Orders  order.Memory
	Usage   usage.Memory
	VMList  vmlist.Memory
	Weights weights.Memory
}

// Handler returns the HTTP interface of all services.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	p.handleObjects(mux)
	p.handleOrders(mux)
	p.handleWeights(mux)
	rest.Handle(mux, usage.PathReport, func(ctx context.Context, r usage.Report) (rest.Empty, error) {
		return rest.Empty{}, p.Usage.Report(ctx, r)
	}, usage.ErrMismatch)
	rest.Handle(mux, vmlist.PathList, func(ctx context.Context, _ rest.Empty) (vmlist.List, error) {
		return p.VMList.List(ctx)
	})
	mux.HandleFunc("PUT "+PathFault, p.setFault)
	mux.HandleFunc("PUT "+PathVMs, p.setVMs)
	mux.HandleFunc("GET "+PathOrders, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Orders.Received())
	})
	mux.HandleFunc("GET "+PathReports, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.reports())
	})
	return mux
}

func (p *Platform) handleObjects(mux *http.ServeMux) {
	rest.Handle(mux, object.PathDelete, func(ctx context.Context, o object.Object) (rest.Empty, error) {
		return rest.Empty{}, p.Objects.Delete(ctx, o.Key)
	})
	rest.Handle(mux, object.PathGet, func(ctx context.Context, o object.Object) (object.Object, error) {
		b, err := p.Objects.Get(ctx, o.Key)
		return object.Object{Key: o.Key, Body: b}, err
	}, object.ErrAbsent)
	rest.Handle(mux, object.PathPut, func(ctx context.Context, o object.Object) (rest.Empty, error) {
		return rest.Empty{}, p.Objects.Put(ctx, o.Key, o.Body)
	}, object.ErrExists)
}

func (p *Platform) handleOrders(mux *http.ServeMux) {
	rest.Handle(mux, order.PathFind, p.Orders.Find, order.ErrAbsent, order.ErrStale)
	rest.Handle(mux, order.PathList, func(ctx context.Context, r fleet.Region) ([]order.Line, error) {
		return p.Orders.List(ctx, r)
	})
	rest.Handle(mux, order.PathPlace, func(ctx context.Context, o order.Order) (rest.Empty, error) {
		return rest.Empty{}, p.Orders.Place(ctx, o)
	}, order.ErrMismatch, order.ErrStale, order.ErrUnfilled)
}

func (p *Platform) handleWeights(mux *http.ServeMux) {
	rest.Handle(mux, weights.PathFetch, func(ctx context.Context, w weights.Weights) ([]byte, error) {
		return p.Weights.Fetch(ctx, w.Pool, w.Version)
	}, weights.ErrAbsent, weights.ErrBusy)
	rest.Handle(mux, weights.PathNewest, func(ctx context.Context, pool fleet.Pool) (weights.Weights, error) {
		return p.Weights.Newest(ctx, pool)
	}, weights.ErrAbsent)
	rest.Handle(mux, weights.PathPublish, func(ctx context.Context, w weights.Weights) (rest.Empty, error) {
		return rest.Empty{}, p.Weights.Publish(ctx, w)
	}, weights.ErrNotNewer)
}

// reportView is a usage report whose body is shown as plain JSON.
type reportView struct {
	Region fleet.Region
	Window string
	Epoch  fleet.Epoch
	Body   json.RawMessage
}

func (p *Platform) reports() []reportView {
	var views []reportView
	for _, r := range p.Usage.Received() {
		views = append(views, reportView{Region: r.Region, Window: r.Window, Epoch: r.Epoch, Body: r.Body})
	}
	return views
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	injectors := map[string]*fake.Injector{
		"Objects": &p.Objects.Faults,
		"Orders":  &p.Orders.Faults,
		"Usage":   &p.Usage.Faults,
		"VMList":  &p.VMList.Faults,
		"Weights": &p.Weights.Faults,
	}
	i, ok := injectors[f.Service]
	if !ok {
		http.Error(w, "no such service", http.StatusBadRequest)
		return
	}
	i.Set(f.Fault)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) setVMs(w http.ResponseWriter, r *http.Request) {
	var l vmlist.List
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.VMList.Set(l)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The client detects a truncated response.
	_ = json.NewEncoder(w).Encode(v)
}
