package batch

import (
	"context"

	"github.com/daisylb/daisylb/contract"
)

// noopExecutor answers every item at once and samples the heap.
type noopExecutor struct {
	answer string
	heap   *heapPeak
}

func (e *noopExecutor) Complete(_ context.Context, _ *contract.Completion, sink contract.ChunkSink) error {
	e.heap.sample()
	return sink(contract.Chunk{Text: e.answer, FinishReason: "stop"})
}

func (e *noopExecutor) Call(context.Context, *contract.PlainCall) (*contract.PlainAnswer, error) {
	e.heap.sample()
	return &contract.PlainAnswer{Status: 200, Body: []byte(e.answer)}, nil
}
