package server

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/yuccahinge/yuccahinge"
)

// Document is the document of a stand-in hit.
type Document struct {
	Title   string                  `json:"title"`
	Shard   yuccahinge.ShardID      `json:"shard"`
	Version yuccahinge.IndexVersion `json:"version"`
	// Expires is a date; if it is a holiday of the calendar, the next day that is none.
	Expires string `json:"expires"`
}

// Hits returns the n hits that every searcher returns for the request. They are a function of the service, shard,
// index version, query and calendar, so that a test can compute the expected answer.
func Hits(r *yuccahinge.ShardRequest, n int) []yuccahinge.Hit {
	hits := make([]yuccahinge.Hit, n)
	for i := range hits {
		hits[i] = hit(r, i)
	}
	return hits
}

func hit(r *yuccahinge.ShardRequest, i int) yuccahinge.Hit {
	id := fmt.Sprintf("%s-%d-%d-%d", r.Service, r.IndexVersion, r.Shard, i)
	hash := xxhash.Sum64String(id + string(r.Query))
	doc, _ := json.Marshal(Document{
		Title:   fmt.Sprintf("%s record %04x", r.Service, hash&0xffff),
		Shard:   r.Shard,
		Version: r.IndexVersion,
		Expires: expiryDate(hash, r.Calendar),
	})
	return yuccahinge.Hit{
		ID:    yuccahinge.DocumentID(id),
		Score: float64(hash>>40) / float64(1<<24),
		Doc:   doc,
	}
}

func expiryDate(hash uint64, cal *yuccahinge.Calendar) string {
	day := time.Date(2026, time.December, 1+int(hash%28), 0, 0, 0, 0, time.UTC)
	for cal != nil && slices.Contains(cal.Holidays, day.Format(time.DateOnly)) {
		day = day.AddDate(0, 0, 1)
	}
	return day.Format(time.DateOnly)
}
