// Package attempt decides what may be done and said after each attempt to run a
// request on a backend server.
package attempt

// States of an attempt.
const (
	// NotSent says that no byte of the request has left, or that the server
	// stated that it did not begin the request.
	NotSent State = iota
	// Sent says that at least one byte may have left.
	Sent
	// Answered says that the whole answer was received.
	Answered
	// Unknown says that the request may have left and no answer will come.
	Unknown
)

// State is what is known of the running of one attempt.
type State uint8

// String returns the state's name.
func (s State) String() string {
	switch s {
	case NotSent:
		return "NotSent"
	case Sent:
		return "Sent"
	case Answered:
		return "Answered"
	default:
		return "Unknown"
	}
}
