package ibistable

// Paths of the HTTP API, with the methods and query parameters (or JSON body) of each.
const (
	PathRow    = "/row"    // GET; key
	PathRows   = "/rows"   // GET; from, to, limit
	PathCommit = "/commit" // POST; CommitRequest
	PathObject = "/object" // PUT, GET, DELETE; key
)

// CommitRequest is the body of a request to PathCommit.
type CommitRequest struct {
	Writes []Write `json:"Writes"`
}

// CommitReply is the reply to a commit that took effect. Version is the version of the rows written.
type CommitReply struct {
	Version int64 `json:"Version"`
}

// ScanReply is the reply to a scan.
type ScanReply struct {
	Rows []Row `json:"Rows"`
}

// ErrorReply is the body of an error reply of the service. Error is a message for people.
type ErrorReply struct {
	Error string `json:"Error"`
}
