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

// clearTimeout bounds the undoing of an action after the run was cancelled.
const clearTimeout = 15 * time.Second

// actor does an action or, with clear set, undoes it.
type actor interface {
	act(ctx context.Context, a *Action, clear bool) error
}

// perform does the actions at their times and undoes each, also when ctx ends
// first. It returns the first failure.
func perform(ctx context.Context, by actor, actions []*Action, start time.Time, window time.Duration) error {
	var group sync.WaitGroup
	failures := make([]error, len(actions))
	for i, a := range actions {
		group.Go(func() { failures[i] = performOne(ctx, by, a, start, window) })
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

func performOne(ctx context.Context, by actor, a *Action, start time.Time, window time.Duration) error {
	if !sleepUntil(ctx, start.Add(a.At)) {
		return nil
	}
	if err := by.act(ctx, a, false); err != nil {
		return fmt.Errorf("action %q: %w", a.Name, err)
	}
	until := a.Until
	if until == 0 {
		until = window
	}
	sleepUntil(ctx, start.Add(until))
	undo, cancel := context.WithTimeout(context.WithoutCancel(ctx), clearTimeout)
	defer cancel()
	if err := by.act(undo, a, true); err != nil {
		return fmt.Errorf("undoing action %q: %w", a.Name, err)
	}
	return nil
}

// httpActor does actions on a deployment.
type httpActor struct {
	deployment Deployment
	calls      *http.Client
}

func (h *httpActor) act(ctx context.Context, a *Action, clear bool) error {
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

func (h *httpActor) send(ctx context.Context, method, url string, body []byte) error {
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.calls.Do(request)
	if err != nil {
		return code.Wrap(code.PeerUnreachable, err, "no answer from %s", url)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return code.New(code.PeerUnreachable, "status %d from %s", response.StatusCode, url)
	}
	return nil
}

func (h *httpActor) switchPreset(ctx context.Context, preset string) error {
	if len(h.deployment.Operators) == 0 {
		return code.New(code.InvalidSettings, "the deployment names no operator listener")
	}
	operator := config.NewClient(h.deployment.Operators[0], h.deployment.OperatorKey, h.calls)
	list, err := operator.Presets(ctx)
	if err != nil || list.Active == preset {
		return err
	}
	_, err = operator.SwitchPreset(ctx, config.SwitchRequest{ID: uuid.NewString(), BaseVersion: list.Version, Preset: preset, Note: "load"})
	return err
}
