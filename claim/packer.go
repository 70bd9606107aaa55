package claim

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/daisylb/daisylb/claim/claimpb"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/guard"
)

// objectPrefix precedes the objects of answers; the hour follows it.
const (
	objectPrefix     = "claim-answers/"
	objectHourLayout = "2006010215"
)

// packer stores the answers of many callers in shared objects and hands their
// rows to a committer.
type packer struct {
	*batcher
	objects storage.Objects
	maximum int
	next    *committer
	metrics *metrics
}

func newPacker(objects storage.Objects, o Options, next *committer, m *metrics) *packer {
	p := &packer{objects: objects, maximum: o.PackBytes, next: next, metrics: m}
	p.batcher = newBatcher(o.PackInterval, p.choose, p.pack)
	return p
}

// choose fills one object; an answer over the maximum gets one of its own.
func (p *packer) choose(queue []*entry) (batch, rest []*entry) {
	size := 0
	for i, e := range queue {
		size += len(e.answer)
		if i > 0 && size > p.maximum {
			return queue[:i:i], queue[i:]
		}
	}
	return queue, nil
}

// pack puts one object and points the records at their parts of it.
func (p *packer) pack(ctx context.Context, batch []*entry) {
	key := objectPrefix + time.Now().UTC().Format(objectHourLayout) + "/" + uuid.NewString()
	var body []byte
	for _, e := range batch {
		e.record.Span = &claimpb.Span{Object: key, Offset: int64(len(body)), Length: int64(len(e.answer))}
		body = append(body, e.answer...)
	}
	p.metrics.objects.Inc()
	if err := guard.PutOnce(ctx, p.objects, key, body); err != nil {
		// The rows still say pending, whatever became of the object.
		p.metrics.objectFailures.WithLabelValues(numberLabel(code.Of(err))).Inc()
		endAll(batch, unavailable)
		return
	}
	for _, e := range batch {
		e.answer = nil
		p.next.add(e)
	}
}
