// Package jsonhttp holds the HTTP helpers that the stand-ins share.
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes bounds a request body of a stand-in.
const maxBodyBytes = 64 << 20

// Failure is the body of an answer that reports an error.
type Failure struct {
	Error string `json:"error"`
}

// Write sends a JSON answer.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Fail sends an error as a Failure.
func Fail(w http.ResponseWriter, status int, message string) {
	Write(w, status, Failure{Error: message})
}

// Read decodes the body of a request. It answers 400 and returns false when
// the body does not decode.
func Read(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := decoder.Decode(target); err != nil {
		Fail(w, http.StatusBadRequest, "body: "+err.Error())
		return false
	}
	return true
}

// Abort cuts the connection of a request without an answer. It does not
// return.
func Abort() {
	panic(http.ErrAbortHandler)
}
