// Package attempt decides whether to retry, refuse or deliver after each
// attempt to run a request on a backend server.
package attempt

// States of an attempt.
const (
	// NotSent means that no byte of the request was sent, or that the server
	// reported that it did not begin the request.
	NotSent State = iota
	// Sent means that at least one byte may have been sent.
	Sent
	// Answered means that the complete answer was received.
	Answered
	// Unknown means that the request may have been sent and no answer will
	// arrive.
	Unknown
)

// State is what is known about the execution of an attempt.
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
