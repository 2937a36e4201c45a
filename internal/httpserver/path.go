package httpserver

import (
	"net/http"

	"frosttide/internal/jsonbody"
)

// PathText returns the text that the wildcard with the given name has matched in a request's path. If
// it is not valid UTF-8, PathText responds with status 400 and returns false.
func PathText(w http.ResponseWriter, r *http.Request, name string) (string, bool) {
	text := r.PathValue(name)
	return text, CheckPath(w, text)
}

// CheckPath reports whether a part of a request's path is valid UTF-8, and responds with status 400 if
// it is not.
func CheckPath(w http.ResponseWriter, text string) bool {
	if err := jsonbody.CheckText("path", text); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
