package yuccahinge

import "encoding/json"

// Hit is one document of an answer.
type Hit struct {
	ID    DocumentID      `json:"id"`
	Score float64         `json:"score"`
	Doc   json.RawMessage `json:"doc,omitempty"`
}
