package command

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

// defaultEntry is a setting with its fleet-wide value.
type defaultEntry struct {
	Setting config.Setting
	Value   float64
	// BuiltIn is whether the value is the built-in one, not set by an operator.
	BuiltIn bool
}

func (s *session) addDefault(a *kingpin.Application) {
	c := a.Command("default", "Set and list fleet-wide defaults.")

	put := c.Command("set", "Set a default.")
	name := put.Arg("setting", "Name of the setting.").Required().Enum(settingNames()...)
	value := put.Arg("value", "Value.").Required().Float64()
	reason := put.Flag("reason", "Reason, recorded in the history.").Default("default set").String()
	put.Action(func(*kingpin.ParseContext) error {
		r, err := s.edit(*reason, func(c *config.Config) error {
			c.Defaults[config.Setting(*name)] = *value
			return nil
		})
		if err != nil {
			return err
		}
		return s.printApplied(r, fmt.Sprintf("default %s set to %v", *name, *value))
	})

	c.Command("list", "List all settings with their defaults.").Action(func(*kingpin.ParseContext) error {
		return s.listDefaults()
	})
}

func (s *session) listDefaults() error {
	c, err := s.current(0)
	if err != nil {
		return err
	}
	p := config.NewSnapshot(c)
	var l []defaultEntry
	for _, x := range config.Settings() {
		_, ok := c.Defaults[x]
		l = append(l, defaultEntry{Setting: x, Value: p.Value(x, ""), BuiltIn: !ok})
	}
	return s.print(l, func(w io.Writer) {
		table(w, func(w io.Writer) {
			row(w, "SETTING", "VALUE", "BUILT-IN")
			for _, e := range l {
				row(w, e.Setting, e.Value, e.BuiltIn)
			}
		})
	})
}

func settingNames() []string {
	var names []string
	for _, x := range config.Settings() {
		names = append(names, string(x))
	}
	return names
}
