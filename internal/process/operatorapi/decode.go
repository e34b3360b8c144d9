package operatorapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"currantladder.example/currantladder/internal/version/object"
)

// maxObjects bounds the objects of one apply request.
const maxObjects = 1000

// decodeObjects reads one object, an array of objects, or a stream of both.
// It collects the faults of all objects before it gives up.
func decodeObjects(r io.Reader) ([]*object.Object, *Error) {
	raws, failure := splitObjects(r)
	if failure != nil {
		return nil, failure
	}
	if len(raws) == 0 {
		return nil, newError(ErrorBadRequest, http.StatusBadRequest, "the body holds no object: send one object or an array of objects")
	}
	if len(raws) > maxObjects {
		return nil, newError(ErrorBadRequest, http.StatusBadRequest, fmt.Sprintf("the body holds %d objects: send at most %d at once", len(raws), maxObjects))
	}
	var objects []*object.Object
	var faults []object.Fault
	for i, raw := range raws {
		o := &object.Object{}
		if err := json.Unmarshal(raw, o); err != nil {
			faults = append(faults, object.Fault{Field: fmt.Sprintf("objects[%d]", i), Message: err.Error()})
			continue
		}
		objects = append(objects, o)
	}
	if len(faults) > 0 {
		failure := newError(ErrorInvalid, http.StatusUnprocessableEntity, "nothing was accepted: correct every fault and send the change again")
		failure.Faults = faults
		failure.Accepted = AcceptedNo
		return nil, failure
	}
	return objects, nil
}

// splitObjects separates a stream of JSON values; arrays are flattened.
func splitObjects(r io.Reader) ([]json.RawMessage, *Error) {
	decoder := json.NewDecoder(r)
	var raws []json.RawMessage
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return raws, nil
		}
		if err != nil {
			return nil, bodyFailure(err)
		}
		if raw[0] != '[' {
			raws = append(raws, raw)
			continue
		}
		var list []json.RawMessage
		if err := json.Unmarshal(raw, &list); err != nil {
			return nil, bodyFailure(err)
		}
		raws = append(raws, list...)
	}
}

func bodyFailure(err error) *Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newError(ErrorBodyTooLarge, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes: send fewer objects at once", tooLarge.Limit))
	}
	return newError(ErrorBadRequest, http.StatusBadRequest, "the body is not valid JSON: "+err.Error())
}
