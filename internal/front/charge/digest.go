package charge

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/yuccahinge/yuccahinge"
)

// digest hashes a JSON body without its insignificant white space, so a proxy that reformats the body does not change
// the digest.
func digest(body json.RawMessage) (yuccahinge.BodyDigest, error) {
	var b bytes.Buffer
	if err := json.Compact(&b, body); err != nil {
		return "", err
	}
	sum := sha256.Sum256(b.Bytes())
	return yuccahinge.BodyDigest(hex.EncodeToString(sum[:])), nil
}

// shardOf returns the shard whose hash range contains the business key, or nil if no shard does.
func shardOf(ix *yuccahinge.Index, key string) *yuccahinge.Shard {
	slot := uint32(xxhash.Sum64String(key) % yuccahinge.HashSlots)
	for i := range ix.Shards {
		s := &ix.Shards[i]
		if s.From <= slot && slot < s.To {
			return s
		}
	}
	return nil
}
