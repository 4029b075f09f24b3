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

// namePattern matches valid names of regions and failure domains.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// check validates a decoded file and returns the first error found.
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

// checkFields checks each field against its validate tag.
func checkFields(d *document) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	// Without a custom type function, the library validates the fields of
	// AddrPort instead of the address.
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
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return errors.Wrap(err, "settings: validator")
	}
	f := invalid[0]
	_, path, _ := strings.Cut(f.Namespace(), ".")
	if d.lines[path] == 0 {
		return d.errorAt(ErrInvalid, path, "missing")
	}
	return d.errorAt(ErrInvalid, path, fmt.Sprint(f.Value()))
}

// checkListen checks that no two listeners share an address and that other
// daemons can reach the advertised one.
func checkListen(d *document) error {
	l := d.settings.Listen
	var seen set.Set[netip.AddrPort]
	for _, a := range []struct {
		path    string
		address netip.AddrPort
	}{
		{path: "Listen.Callers", address: l.Callers},
		{path: "Listen.Operators", address: l.Operators},
		{path: "Listen.Peers", address: l.Peers},
		{path: "Listen.Metrics", address: l.Metrics},
	} {
		if !seen.Add(a.address) {
			return d.errorAt(ErrDuplicate, a.path, a.address.String())
		}
	}
	if d.settings.AdvertisePeer.Addr().IsUnspecified() {
		return d.errorAt(ErrInvalid, "AdvertisePeer", "not reachable by other daemons")
	}
	return nil
}

// checkRegions checks that regions do not share names or failure domains and
// that the daemon is in one of them.
func checkRegions(d *document) error {
	var names set.Set[fleet.Region]
	var domains set.Set[fleet.FailureDomain]
	var own []fleet.FailureDomain
	for i, r := range d.settings.Regions {
		if !names.Add(r.Name) {
			return d.errorAt(ErrDuplicate, fmt.Sprintf("Regions[%d].Name", i), string(r.Name))
		}
		for j, f := range r.FailureDomains {
			if !domains.Add(f) {
				return d.errorAt(ErrDuplicate, fmt.Sprintf("Regions[%d].FailureDomains[%d]", i, j), string(f))
			}
		}
		if r.Name == d.settings.Region {
			own = r.FailureDomains
		}
	}
	if own == nil {
		return d.errorAt(ErrInvalid, "Region", "not in Regions")
	}
	if !set.New(own...).Contains(d.settings.FailureDomain) {
		return d.errorAt(ErrInvalid, "FailureDomain", "not in region "+string(d.settings.Region))
	}
	return nil
}

// checkTLS checks that the TLS files exist.
func checkTLS(d *document) error {
	t := d.settings.TLS
	for _, f := range []struct{ path, file string }{
		{path: "TLS.CA", file: t.CA},
		{path: "TLS.Certificate", file: t.Certificate},
		{path: "TLS.Key", file: t.Key},
	} {
		if _, err := os.Stat(f.file); err != nil {
			return d.errorAt(ErrFile, f.path, err.Error())
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
