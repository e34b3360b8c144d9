package operatorapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"currantladder.example/currantladder/internal/connection/intake"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/object"
)

// maxObjects limits the number of objects in one apply request.
const maxObjects = 1000

// decodeObjects reads one object, an array of objects, or a stream of both.
// If objects cannot be decoded, the error lists all of them.
func decodeObjects(r io.Reader) ([]*object.Object, *Error) {
	rawObjects, failure := splitObjects(r)
	if failure != nil {
		return nil, failure
	}
	if len(rawObjects) == 0 {
		return nil, newError(ErrorBadRequest, http.StatusBadRequest, "the body holds no object: send one object or an array of objects")
	}
	if len(rawObjects) > maxObjects {
		return nil, newError(ErrorBadRequest, http.StatusBadRequest, fmt.Sprintf("the body holds %d objects: send at most %d at once", len(rawObjects), maxObjects))
	}
	var objects []*object.Object
	var fieldErrors []object.FieldError
	for i, raw := range rawObjects {
		o := &object.Object{}
		if err := json.Unmarshal(raw, o); err != nil {
			fieldErrors = append(fieldErrors, object.FieldError{Field: fmt.Sprintf("objects[%d]", i), Message: err.Error()})
			continue
		}
		objects = append(objects, o)
	}
	if len(fieldErrors) > 0 {
		failure := newError(ErrorInvalid, http.StatusUnprocessableEntity, "nothing was accepted: correct every fault and send the change again")
		failure.FieldErrors = fieldErrors
		failure.Accepted = AcceptedNo
		return nil, failure
	}
	return objects, nil
}

// splitObjects separates a stream of JSON values; arrays are flattened.
func splitObjects(r io.Reader) ([]json.RawMessage, *Error) {
	decoder := json.NewDecoder(r)
	var rawObjects []json.RawMessage
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return rawObjects, nil
		}
		if err != nil {
			return nil, bodyError(err)
		}
		if raw[0] != '[' {
			rawObjects = append(rawObjects, raw)
			continue
		}
		var list []json.RawMessage
		if err := json.Unmarshal(raw, &list); err != nil {
			return nil, bodyError(err)
		}
		rawObjects = append(rawObjects, list...)
	}
}

func bodyError(err error) *Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newError(ErrorBodyTooLarge, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes: send fewer objects at once", tooLarge.Limit))
	}
	switch refused := intake.Refusal(err); {
	case refused == nil:
		return newError(ErrorBadRequest, http.StatusBadRequest, "the body is not valid JSON: "+err.Error())
	case refused.Kind == refusal.KindBodyTooSlow:
		return newError(ErrorBodyTooSlow, refused.Status, refused.Message)
	default:
		return newError(ErrorOverloaded, refused.Status, refused.Message)
	}
}
