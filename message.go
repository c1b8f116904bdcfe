package yuccahinge

// Field is a header field of a message.
type Field struct {
	Name  string
	Value string
}

// Message is a caller's request that searchers receive as it came.
type Message struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	// Fields are the header fields that concern the request and not a connection.
	Fields []Field
	Body   []byte
}

// Response is a searcher's answer to a Message.
type Response struct {
	Status int
	// Signature proves that the searcher gave this answer.
	Signature string
	Fields    []Field
	Body      []byte
}
