package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/config"
)

// clearTimeout bounds the clearing of an action. The clearing runs even after
// the context of the run was cancelled.
const clearTimeout = 15 * time.Second

// actionExecutor executes an action or, with clear set, undoes it.
type actionExecutor interface {
	execute(ctx context.Context, a *Action, clear bool) error
}

// runActions executes the actions at their times, with start as the start of
// the measured window, and clears each of them, also when ctx ends early. It
// returns the first error in the order of actions.
func runActions(ctx context.Context, executor actionExecutor, actions []*Action, start time.Time, window time.Duration) error {
	var group sync.WaitGroup
	failures := make([]error, len(actions))
	for i, a := range actions {
		group.Go(func() { failures[i] = runAction(ctx, executor, a, start, window) })
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// runAction executes one action at its time and clears it at Until or at the
// end of the window. An action that is not due before ctx ends is skipped.
func runAction(ctx context.Context, executor actionExecutor, a *Action, start time.Time, window time.Duration) error {
	if !sleepUntil(ctx, start.Add(a.At)) {
		return nil
	}
	if err := executor.execute(ctx, a, false); err != nil {
		return fmt.Errorf("action %q: %w", a.Name, err)
	}
	until := a.Until
	if until == 0 {
		until = window
	}
	sleepUntil(ctx, start.Add(until))
	undoCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), clearTimeout)
	defer cancel()
	if err := executor.execute(undoCtx, a, true); err != nil {
		return fmt.Errorf("undoing action %q: %w", a.Name, err)
	}
	return nil
}

// httpExecutor executes actions on a deployment over HTTP.
type httpExecutor struct {
	deployment Deployment
	client     *http.Client
}

func (h *httpExecutor) execute(ctx context.Context, a *Action, clear bool) error {
	body, preset := a.Body, a.Preset
	if clear {
		body, preset = a.Clear, a.ClearPreset
	}
	if preset != "" {
		return h.switchPreset(ctx, preset)
	}
	for _, url := range a.URLs {
		if err := h.send(ctx, a.Method, url, body); err != nil {
			return err
		}
	}
	return nil
}

func (h *httpExecutor) send(ctx context.Context, method, url string, body []byte) error {
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if err != nil {
		return code.Wrap(code.PeerUnreachable, err, "no answer from %s", url)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return code.New(code.PeerUnreachable, "status %d from %s", response.StatusCode, url)
	}
	return nil
}

func (h *httpExecutor) switchPreset(ctx context.Context, preset string) error {
	if len(h.deployment.Operators) == 0 {
		return code.New(code.InvalidSettings, "the deployment names no operator listener")
	}
	operator := config.NewClient(h.deployment.Operators[0], h.deployment.OperatorKey, h.client)
	list, err := operator.Presets(ctx)
	if err != nil || list.Active == preset {
		return err
	}
	_, err = operator.SwitchPreset(ctx, config.SwitchRequest{ID: uuid.NewString(), BaseVersion: list.Version, Preset: preset, Note: "load"})
	return err
}
