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
	// waitPollInterval is the time between two reads of the condition.
	waitPollInterval = 250 * time.Millisecond
)

// newWaitCommand returns the command that waits for a condition.
func newWaitCommand() command {
	sub := newOperatorSubcommand("wait", "Wait until a condition of an object is true.")
	c := &client{}
	c.addFlags(sub)
	w := waiter{client: c, condition: string(object.ConditionInForce), timeout: defaultWaitTimeout}
	sub.AddPositionalValue(&w.target, "KIND/NAME", 1, true, "The object.")
	sub.String(&w.condition, "", "for", "Condition to wait for (default InForce).")
	sub.Duration(&w.timeout, "", "timeout", "Time to wait before giving up (default 30s).")
	sub.Int64(&w.revision, "", "revision", "Wait until the node has applied at least this revision, as printed by apply.")
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
	kind, name, err := parseKey(w.target)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	lastState := "the condition was not read"
	for {
		condition, err := w.read(ctx, kind, name)
		switch {
		case err == nil && condition.Status:
			fmt.Fprintf(stdout, "%s is %s: %s\n", w.target, w.condition, condition.Message)
			return nil
		case err == nil:
			lastState = condition.Message
		case ctx.Err() != nil:
			// The timeout interrupted this read: report the last state instead.
		case isFinal(err):
			return err
		default:
			lastState = err.Error()
		}
		select {
		case <-time.After(waitPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s is not %s after %s: %s", w.target, w.condition, w.timeout, lastState)
		}
	}
}

// read returns the condition as the node reports it.
func (w *waiter) read(ctx context.Context, kind, name string) (object.Condition, error) {
	query := url.Values{}
	if w.revision != 0 {
		query.Set("revision", strconv.FormatInt(w.revision, 10))
	}
	var o object.Object
	if err := w.client.get(ctx, objectPath(kind, name), query, &o); err != nil {
		return object.Condition{}, err
	}
	condition := o.Status.Condition(object.ConditionType(w.condition))
	if condition == nil {
		return object.Condition{Message: "the object has no such condition"}, nil
	}
	return *condition, nil
}

// isFinal reports whether trying again cannot succeed. A missing object is not
// final, because it may still reach the node.
func isFinal(err error) bool {
	return errors.Is(err, errUsage) || isAPIError(err, operatorapi.ErrorUnauthorized) || isAPIError(err, operatorapi.ErrorBadRequest)
}
