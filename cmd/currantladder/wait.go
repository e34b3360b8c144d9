package main

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"currantladder.example/currantladder/internal/process/operatorapi"
	"currantladder.example/currantladder/internal/version/object"
)

const (
	defaultWaitTimeout = 30 * time.Second
	// waitPeriod is the pause between two reads of the condition.
	waitPeriod = 250 * time.Millisecond
)

// newWaitCommand returns the command that waits for a condition.
func newWaitCommand() command {
	sub := newOperatorSubcommand("wait", "Wait until a condition of an object is true.")
	c := &client{}
	c.attach(sub)
	w := waiter{client: c, condition: string(object.ConditionInForce), timeout: defaultWaitTimeout}
	sub.AddPositionalValue(&w.target, "KIND/NAME", 1, true, "The object.")
	sub.String(&w.condition, "", "for", "Condition to wait for (default InForce).")
	sub.Duration(&w.timeout, "", "timeout", "Longest wait (default 30s).")
	sub.Int64(&w.revision, "", "revision", "Wait for this revision, as printed by apply, at least.")
	return command{sub: sub, run: w.run}
}

// waiter polls one condition of one object.
type waiter struct {
	client    *client
	target    string
	condition string
	timeout   time.Duration
	revision  int64
}

func (w *waiter) run(ctx context.Context) error {
	kind, name, err := splitKey(w.target)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	state := "it was not read"
	for {
		condition, err := w.read(ctx, kind, name)
		switch {
		case err == nil && condition.Status:
			fmt.Fprintf(stdout, "%s is %s: %s\n", w.target, w.condition, condition.Message)
			return nil
		case err == nil:
			state = condition.Message
		case ctx.Err() != nil:
			// The read was cut by the timeout; the last state tells more.
		case isFinal(err):
			return err
		default:
			state = err.Error()
		}
		select {
		case <-time.After(waitPeriod):
		case <-ctx.Done():
			return fmt.Errorf("%s is not %s after %s: %s", w.target, w.condition, w.timeout, state)
		}
	}
}

func (w *waiter) read(ctx context.Context, kind, name string) (object.Condition, error) {
	query := url.Values{}
	if w.revision != 0 {
		query.Set("revision", strconv.FormatInt(w.revision, 10))
	}
	var o object.Object
	if err := w.client.read(ctx, objectPath(kind, name), query, &o); err != nil {
		return object.Condition{}, err
	}
	condition := o.Status.Condition(object.ConditionType(w.condition))
	if condition == nil {
		return object.Condition{Message: "the object has no such condition"}, nil
	}
	return *condition, nil
}

// isFinal reports whether waiting longer cannot clear the error. A missing
// object may still arrive at the node.
func isFinal(err error) bool {
	return errors.Is(err, errUsage) || hasKind(err, operatorapi.ErrorUnauthorized) || hasKind(err, operatorapi.ErrorBadRequest)
}
