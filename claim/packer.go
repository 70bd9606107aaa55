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

// Names of the objects that hold answers begin with objectPrefix and the hour of the write.
const (
	objectPrefix     = "claim-answers/"
	objectHourLayout = "2006010215"
)

// packer stores the answers of many calls in shared objects and passes their rows to
// a committer.
type packer struct {
	*batcher
	objects   storage.Objects
	maxBytes  int
	committer *committer
	metrics   *metrics
}

func newPacker(objects storage.Objects, o Options, next *committer, m *metrics) *packer {
	p := &packer{objects: objects, maxBytes: o.PackBytes, committer: next, metrics: m}
	p.batcher = newBatcher(o.PackInterval, p.choose, p.pack)
	return p
}

// choose selects the answers of one object. An answer over maxBytes gets an object of
// its own.
func (p *packer) choose(queue []*entry) (batch, rest []*entry) {
	size := 0
	for i, e := range queue {
		size += len(e.answer)
		if i > 0 && size > p.maxBytes {
			return queue[:i:i], queue[i:]
		}
	}
	return queue, nil
}

// pack writes one object, sets the span of each record, and queues the rows for the
// committer.
func (p *packer) pack(ctx context.Context, batch []*entry) {
	key := objectPrefix + time.Now().UTC().Format(objectHourLayout) + "/" + uuid.NewString()
	var body []byte
	for _, e := range batch {
		e.record.Span = &claimpb.Span{Object: key, Offset: int64(len(body)), Length: int64(len(e.answer))}
		body = append(body, e.answer...)
	}
	p.metrics.objects.Inc()
	if err := guard.PutOnce(ctx, p.objects, key, body); err != nil {
		// The rows are still pending, whether the object was written or not.
		p.metrics.objectFailures.WithLabelValues(numberLabel(code.Of(err))).Inc()
		deliverAll(batch, unavailable)
		return
	}
	for _, e := range batch {
		e.answer = nil
		p.committer.add(e)
	}
}
