package yuccahinge

// Field is a header field of a request or a response.
type Field struct {
	Name  string
	Value string
}

// Message is a caller's HTTP request, which is forwarded to searchers unchanged.
type Message struct {
	Method string
	// Target is the unmodified path and query of the request.
	Target string
	Host   string
	// Fields are the end-to-end header fields, without the hop-by-hop ones.
	Fields []Field
	Body   []byte
}

// Response is a searcher's HTTP response to a forwarded request.
type Response struct {
	Status int
	// Signature proves that the response is the searcher's.
	Signature string
	Fields    []Field
	Body      []byte
}
