package ibisconfig

import "crypto/rand"

// keyPrefix makes keys easy to find where they do not belong.
const keyPrefix = "ibk-"

// NewKey makes a key with at least 256 random bits.
func NewKey() string { return keyPrefix + rand.Text() + rand.Text() }

// Valid reports whether h is a SHA-256 in lower-case hexadecimal.
func (h KeyHash) Valid() bool { return hashForm.MatchString(string(h)) }

// Check reports every fault of one objective.
func (o Objective) Check() error {
	if !o.Class.Valid() || o.TargetMS < 0 || !(o.Goal > 0 && o.Goal < 1) {
		return Error.New("an objective needs a known Class, a TargetMS of zero or more and a Goal between 0 and 1")
	}
	return nil
}
