package batch

// Reasons for discarding a sample.
const (
	// DiscardAhead says that an engine named a version that the weight store
	// does not have.
	DiscardAhead Reason = "Ahead"
	// DiscardProtocol says that a chunk named no version or came out of order.
	DiscardProtocol Reason = "Protocol"
	// DiscardStale says that the sample fell behind the bound.
	DiscardStale Reason = "Stale"
)

// Actions are what the dispatcher wants done, in the order of the fields.
type Actions struct {
	Stops    []Stop
	Starts   []Start
	Finishes []Finish
	Discards []Discard
}

// Discard reports a sample that is generated anew.
type Discard struct {
	Sample SampleID
	Reason Reason
	Tokens int
}

// Finish is a group whose samples are whole.
type Finish struct {
	Pending Pending
	Samples []Sample
}

// Reason is why a sample was discarded.
type Reason string

// Start begins or resumes a sample.
type Start struct {
	Sample SampleID
	// Try tells the tries of one sample apart.
	Try   int
	Group Group
	// Partial and Offset are what the sample has so far.
	Partial string
	Offset  int
}

// Stop ends a try.
type Stop struct {
	Sample SampleID
	Try    int
}
