package conns

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge/internal/call/status"
)

var (
	errFieldName = errors.New("a field name contains a space")
	errCoding    = errors.New("an HTTP/1.0 response has a transfer coding")
)

// maxStatusBytes is the length from which a status line has more than its version, its code and spaces between them.
const maxStatusBytes = 64

// readHead reads the head of a response. Unlike http.ReadResponse, it refuses heads whose framing may be misread: the body
// would seem to end with the connection, so that a body cut short would seem whole. The error of a status line that the protocol
// doesn't have is marked with status.ErrInvalid.
func readHead(in *bufio.Reader, method string) (*http.Response, error) {
	if err := checkStatusLine(in); err != nil {
		return nil, err
	}
	if err := checkOldHead(in); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	for name := range resp.Header {
		if strings.IndexByte(name, ' ') >= 0 {
			return nil, errFieldName
		}
	}
	return resp, nil
}

// checkStatusLine checks the next line without reading it. A line longer than the buffer is cut within its reason phrase.
func checkStatusLine(in *bufio.Reader) error {
	for n := max(1, in.Buffered()); ; n = max(n+1, in.Buffered()) {
		line, err := in.Peek(n)
		if end := bytes.IndexByte(line, '\n'); end < 0 && err == nil {
			continue
		} else if end >= 0 {
			line = line[:end]
		} else if !errors.Is(err, bufio.ErrBufferFull) {
			return nil // the connection ended, which http.ReadResponse reports
		}
		_, err = status.ParseHTTP1(string(line[:min(len(line), maxStatusBytes)]))
		return err
	}
}

// checkOldHead refuses a transfer coding in an HTTP/1.0 response, which http.ReadResponse ignores and drops. The head must
// fit the buffer.
func checkOldHead(in *bufio.Reader) error {
	const version = "HTTP/1.0"
	if start, _ := in.Peek(len(version)); string(start) != version {
		return nil // also if the connection ended, which http.ReadResponse reports
	}
	for n := in.Buffered(); ; n = max(n+1, in.Buffered()) {
		head, err := in.Peek(n)
		if errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if err != nil {
			return nil
		}
		head = bytes.ToLower(bytes.ReplaceAll(head, []byte("\r"), nil))
		if end := bytes.Index(head, []byte("\n\n")); end >= 0 {
			if bytes.Contains(head[:end], []byte("\ntransfer-encoding")) {
				return errCoding
			}
			return nil
		}
	}
}
