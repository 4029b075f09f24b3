package settings

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
)

// namePattern is what names of regions and failure domains look like.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// check reports the first fault of a decoded file.
func check(d *document) error {
	if err := checkFields(d); err != nil {
		return err
	}
	if err := checkRegions(d); err != nil {
		return err
	}
	if err := checkListen(d); err != nil {
		return err
	}
	return checkTLS(d)
}

// checkFields checks each field by its tag.
func checkFields(d *document) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	// The library would take an address for a struct to walk into.
	v.RegisterCustomTypeFunc(func(v reflect.Value) any {
		a, _ := v.Interface().(netip.AddrPort)
		return addressText(a)
	}, netip.AddrPort{})
	if err := v.RegisterValidation("address", isAddress); err != nil {
		return errors.Wrap(err, "settings: validator")
	}
	if err := v.RegisterValidation("name", isName); err != nil {
		return errors.Wrap(err, "settings: validator")
	}
	err := v.Struct(d.settings)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return errors.Wrap(err, "settings: validator")
	}
	f := faults[0]
	_, place, _ := strings.Cut(f.Namespace(), ".")
	if d.lines[place] == 0 {
		return d.fault(ErrInvalid, place, "missing")
	}
	return d.fault(ErrInvalid, place, fmt.Sprint(f.Value()))
}

// checkListen makes sure that no two listeners share an address.
func checkListen(d *document) error {
	l := d.settings.Listen
	var seen set.Set[netip.AddrPort]
	for _, a := range []struct {
		place   string
		address netip.AddrPort
	}{
		{place: "Listen.Callers", address: l.Callers},
		{place: "Listen.Operators", address: l.Operators},
		{place: "Listen.Peers", address: l.Peers},
		{place: "Listen.Metrics", address: l.Metrics},
	} {
		if !seen.Add(a.address) {
			return d.fault(ErrOverlap, a.place, a.address.String())
		}
	}
	if d.settings.AdvertisePeer.Addr().IsUnspecified() {
		return d.fault(ErrInvalid, "AdvertisePeer", "not an address that others can reach")
	}
	return nil
}

// checkRegions makes sure that regions do not share failure domains and that
// the daemon is in one of them.
func checkRegions(d *document) error {
	var names set.Set[fleet.Region]
	var domains set.Set[fleet.FailureDomain]
	var own []fleet.FailureDomain
	for i, r := range d.settings.Regions {
		if !names.Add(r.Name) {
			return d.fault(ErrOverlap, fmt.Sprintf("Regions[%d].Name", i), string(r.Name))
		}
		for j, f := range r.FailureDomains {
			if !domains.Add(f) {
				return d.fault(ErrOverlap, fmt.Sprintf("Regions[%d].FailureDomains[%d]", i, j), string(f))
			}
		}
		if r.Name == d.settings.Region {
			own = r.FailureDomains
		}
	}
	if own == nil {
		return d.fault(ErrInvalid, "Region", "not in Regions")
	}
	if !set.New(own...).Contains(d.settings.FailureDomain) {
		return d.fault(ErrInvalid, "FailureDomain", "not in region "+string(d.settings.Region))
	}
	return nil
}

// checkTLS makes sure that the named files exist.
func checkTLS(d *document) error {
	t := d.settings.TLS
	for _, f := range []struct{ place, path string }{
		{place: "TLS.CA", path: t.CA},
		{place: "TLS.Certificate", path: t.Certificate},
		{place: "TLS.Key", path: t.Key},
	} {
		if _, err := os.Stat(f.path); err != nil {
			return d.fault(ErrFile, f.place, err.Error())
		}
	}
	return nil
}

func addressText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func isAddress(f validator.FieldLevel) bool {
	a, err := netip.ParseAddrPort(f.Field().String())
	return err == nil && a.Port() != 0
}

func isName(f validator.FieldLevel) bool {
	return namePattern.MatchString(f.Field().String())
}
