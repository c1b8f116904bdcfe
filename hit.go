package yuccahinge

import "encoding/json"

// Hit is one document in a SearchAnswer.
type Hit struct {
	ID    DocumentID      `json:"id"`
	Score float64         `json:"score"`
	Doc   json.RawMessage `json:"doc,omitempty"`
}
