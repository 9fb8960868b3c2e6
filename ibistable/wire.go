package ibistable

// Paths of the HTTP interface. Rows and objects are named by the query parameter "key".
const (
	PathRow    = "/row"    // GET, key
	PathRows   = "/rows"   // GET, from, to, limit
	PathCommit = "/commit" // POST CommitRequest
	PathObject = "/object" // PUT, GET and DELETE, key
)

// CommitRequest is the body of a commit.
type CommitRequest struct {
	Writes []Write `json:"Writes"`
}

// CommitReply is the answer to a commit that took effect.
type CommitReply struct {
	Version int64 `json:"Version"`
}

// ScanReply is the answer to a read by key range.
type ScanReply struct {
	Rows []Row `json:"Rows"`
}

// ErrorReply is the body of every answer that is not a success.
type ErrorReply struct {
	Error string `json:"Error"`
}
