package batch

// Reasons for discarding a sample.
const (
	// DiscardAhead means that an engine reported a weight version that the
	// weight store does not have.
	DiscardAhead Reason = "Ahead"
	// DiscardProtocol means that a chunk had no weight version or arrived out of
	// order.
	DiscardProtocol Reason = "Protocol"
	// DiscardStale means that the sample exceeded the staleness bound.
	DiscardStale Reason = "Stale"
)

// Actions are returned by Dispatcher.Decide and are executed in field order.
type Actions struct {
	Stops    []Stop
	Starts   []Start
	Finishes []Finish
	Discards []Discard
}

// Discard reports a sample whose tokens were discarded and that is generated
// again.
type Discard struct {
	Sample SampleID
	Reason Reason
	Tokens int
}

// Finish is a group whose samples are all complete.
type Finish struct {
	Pending Pending
	Samples []Sample
}

// Reason is why a sample was discarded.
type Reason string

// Start begins or resumes a sample.
type Start struct {
	Sample SampleID
	// Attempt numbers the attempts of one sample.
	Attempt int
	Group   Group
	// Partial is the text generated so far, Offset its number of tokens.
	Partial string
	Offset  int
}

// Stop ends an attempt.
type Stop struct {
	Sample  SampleID
	Attempt int
}
