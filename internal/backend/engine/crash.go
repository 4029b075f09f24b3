package engine

// CrashError says that the run Boot of an engine is over. It wraps ErrCrashed.
type CrashError struct {
	// Boot is empty when the run did not name itself.
	Boot  string
	Cause error
}

// Error implements error.
func (c *CrashError) Error() string {
	return ErrCrashed.Error() + ": " + c.Cause.Error()
}

// Unwrap returns ErrCrashed.
func (c *CrashError) Unwrap() error {
	return ErrCrashed
}
