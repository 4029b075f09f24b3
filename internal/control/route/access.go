package route

// Results of the lookup of a key.
const (
	// KeyUnknownYet means that no configuration is known by which the key could be
	// looked up: the request must not run yet.
	KeyUnknownYet Lookup = iota
	// KeyAccepted means that the request may run, for the workspace of the key or, if
	// no key is required, for none.
	KeyAccepted
	// KeyRejected means that a key is required and that this one is in no workspace.
	KeyRejected
)

// Lookup is the result of the lookup of a key.
type Lookup uint8

// Access determines whose requests run. The zero value accepts none, because nothing
// is known: whether a key is required is a state of its own and never derived from the
// number of keys, which may be withdrawn to the last.
type Access struct {
	known    bool
	required bool
	// workspaces maps keys to workspaces; empty unless a key is required.
	workspaces map[string]string
}

// NoKeyRequired returns the Access of a configuration without workspaces.
func NoKeyRequired() Access {
	return Access{known: true}
}

// KeyRequired returns the Access of a configuration with workspaces, given the
// workspace of each key. Without keys it accepts no request. The empty key is in no
// workspace.
func KeyRequired(workspaces map[string]string) Access {
	return Access{known: true, required: true, workspaces: workspaces}
}

// Required reports whether a key is required.
func (a Access) Required() bool {
	return a.required
}

// Lookup looks up a caller's key, which is empty if it has none.
func (a Access) Lookup(key string) (workspace string, l Lookup) {
	switch {
	case !a.known:
		return "", KeyUnknownYet
	case !a.required:
		return "", KeyAccepted
	}
	w, ok := a.workspaces[key]
	if !ok || key == "" {
		return "", KeyRejected
	}
	return w, KeyAccepted
}
