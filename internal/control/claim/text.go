package claim

import (
	"slices"

	"github.com/pkg/errors"
)

// ErrUnknownName is returned when a text is not the name of an event or action.
var ErrUnknownName = errors.New("claim: unknown name")

// actionNames and eventNames are indexed by ActionKind and EventKind.
var (
	actionNames = []string{"", "Insert", "Keep", "None", "Read", "Refuse", "Release", "Replay", "Send"}
	eventNames  = []string{
		"", "Answered", "Begin", "Conflict", "Inserted", "Lost", "NotRun", "Read", "Unavailable", "Unknown",
	}
)

// String returns the action's name.
func (a ActionKind) String() string {
	return actionNames[a]
}

// UnmarshalText sets the action from its name.
func (a *ActionKind) UnmarshalText(b []byte) error {
	n, err := indexOf(actionNames, string(b))
	*a = ActionKind(n)
	return err
}

// String returns the event's name.
func (e EventKind) String() string {
	return eventNames[e]
}

// UnmarshalText sets the event from its name.
func (e *EventKind) UnmarshalText(b []byte) error {
	n, err := indexOf(eventNames, string(b))
	*e = EventKind(n)
	return err
}

func indexOf(names []string, name string) (int, error) {
	n := slices.Index(names, name)
	if n < 1 {
		return 0, errors.Wrap(ErrUnknownName, name)
	}
	return n, nil
}
