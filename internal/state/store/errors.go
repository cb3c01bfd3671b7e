package store

import "fmt"

// CorruptError reports a damaged folder. The member must be replaced by a new one.
type CorruptError struct {
	Dir, Detail string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("data folder %s is corrupt: %s", e.Dir, e.Detail)
}

func corrupt(format string, args ...any) error {
	return &CorruptError{Detail: fmt.Sprintf(format, args...)}
}

// DiskFullError reports that a write did not fit on the disk. Nothing of that write may be acknowledged.
type DiskFullError struct {
	Dir string
	Err error
}

func (e *DiskFullError) Error() string {
	return fmt.Sprintf("no space left for data folder %s: %v", e.Dir, e.Err)
}

// Unwrap returns the error of the write.
func (e *DiskFullError) Unwrap() error { return e.Err }

// LockedError reports that another process has the folder open.
type LockedError struct{ Dir string }

func (e *LockedError) Error() string {
	return fmt.Sprintf("data folder %s is in use by another process", e.Dir)
}

// ExistsError reports that a folder which should be empty already holds a member.
type ExistsError struct{ Dir string }

func (e *ExistsError) Error() string {
	return fmt.Sprintf("data folder %s already holds a member", e.Dir)
}

// FormatError reports a folder written by an incompatible version.
type FormatError struct {
	Dir   string
	Found uint64
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("data folder %s has format %d, this version reads format %d", e.Dir, e.Found, FormatVersion)
}

// IdentityError reports settings that do not fit the stored identity.
type IdentityError struct {
	Dir, Detail string
}

func (e *IdentityError) Error() string { return fmt.Sprintf("data folder %s: %s", e.Dir, e.Detail) }
