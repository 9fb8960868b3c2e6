package ibisconfig

import "crypto/rand"

// apiKeyPrefix makes API keys easy to find in places where they must not appear.
const apiKeyPrefix = "ibk-"

// NewKey returns a new API key with at least 256 random bits.
func NewKey() string { return apiKeyPrefix + rand.Text() + rand.Text() }

// Valid reports whether h is 64 lower-case hexadecimal digits.
func (h KeyHash) Valid() bool { return hashPattern.MatchString(string(h)) }

// Check returns an error if a field of the objective is invalid.
func (o Objective) Check() error {
	if !o.Class.Valid() || o.TargetMS < 0 || !(o.Goal > 0 && o.Goal < 1) {
		return Error.New("an objective needs a known Class, a TargetMS of zero or more and a Goal between 0 and 1")
	}
	return nil
}
