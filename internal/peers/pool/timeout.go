package pool

import (
	"context"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// timeLimit returns the time left until the deadline of ctx, or the pool's timeout without one.
func (p *Pool) timeLimit(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return p.TimeoutMs.Duration()
}

// remaining returns the time left until the deadline of ctx, or zero without one.
func remaining(ctx context.Context) yuccahinge.Millis {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return yuccahinge.MillisOf(time.Until(deadline))
}
