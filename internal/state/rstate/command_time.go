package rstate

// AtMS returns the time in milliseconds since 1970 at which the sender made a command.
func AtMS(c Command) int64 { return c.at() }
