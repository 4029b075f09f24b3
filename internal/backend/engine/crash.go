package engine

// CrashError reports that an engine process has ended. It wraps ErrCrashed.
type CrashError struct {
	// Boot is the boot ID of the process; empty when the engine sent none.
	Boot string
	// Cause is the error that ended the attempt. Unwrap does not return it.
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
