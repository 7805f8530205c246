package history

import (
	"fmt"
	"time"
)

// ConflictError means that another apply changed the same file after the version
// that this apply was based on. Nothing was applied.
type ConflictError struct {
	File string `json:"file"`
	// Base is the version that the refused apply was based on.
	Base uint64 `json:"base"`
	// Version, Author and Time describe the conflicting change.
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("file %q was changed by version %d (by %s at %s), after version %d on which this apply is based; "+
		"nothing was applied; fix: look at the difference and apply again with base %d",
		e.File, e.Version, e.Author, e.Time.UTC().Format(time.RFC3339), e.Base, e.Version)
}

// BaseError means that the apply names a base that does not exist yet.
type BaseError struct {
	Base   uint64 `json:"base"`
	Latest uint64 `json:"latest"`
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("base version %d does not exist, the latest is %d; nothing was applied; fix: use the base that diff or status shows",
		e.Base, e.Latest)
}

// UnknownOutcomeError means that it could not be determined in time whether the
// apply took effect. If it did, it created the given version. Applying the same
// file again on the same base is safe: it takes effect once.
type UnknownOutcomeError struct {
	File    string `json:"file"`
	Version uint64 `json:"version"`
	cause   error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether file %q was applied as version %d; fix: apply the same file on the same base again, it takes effect once: %v",
		e.File, e.Version, e.cause)
}

// Unwrap returns the error of the store.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }
