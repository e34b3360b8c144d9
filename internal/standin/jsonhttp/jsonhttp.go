// Package jsonhttp provides the JSON-over-HTTP helpers that the stand-ins share.
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes limits a request body of a stand-in.
const maxBodyBytes = 64 << 20

// Failure is the body of an error response.
type Failure struct {
	Error string `json:"error"`
}

// Write sends a JSON response.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Fail sends an error response with a Failure as its body.
func Fail(w http.ResponseWriter, status int, message string) {
	Write(w, status, Failure{Error: message})
}

// Read decodes the JSON body of a request into target. If that fails, it sends a
// 400 response and returns false.
func Read(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := decoder.Decode(target); err != nil {
		Fail(w, http.StatusBadRequest, "body: "+err.Error())
		return false
	}
	return true
}

// Abort cuts the connection of a request without a response. It panics with
// http.ErrAbortHandler, which the HTTP server recovers.
func Abort() {
	panic(http.ErrAbortHandler)
}
