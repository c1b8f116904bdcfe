package yuccahinge

import "net/http"

// HeaderField is a header field of a request or a response.
type HeaderField struct {
	Name  string
	Value string
}

// HTTPRequest is a caller's HTTP request, which is forwarded to searchers unchanged.
type HTTPRequest struct {
	Method string
	// Target is the unmodified path and query of the request.
	Target string
	Host   string
	// Fields are the end-to-end header fields, without the hop-by-hop ones.
	Fields []HeaderField
	Body   []byte
}

// HTTPResponse is a searcher's HTTP response to a forwarded request.
type HTTPResponse struct {
	Status int
	// Signature proves that the response is the searcher's.
	Signature string
	Fields    []HeaderField
	Body      []byte
}

// PromisesNotRun reports whether a caller that gets the response's status concludes that its request did not run and will not
// run, so that it may send it again.
func (r *HTTPResponse) PromisesNotRun() bool {
	switch r.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
