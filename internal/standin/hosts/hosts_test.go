package hosts

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestUnchangedListIsNotSent guards against sending an unchanged list again to a
// client that has it, and against an ETag that stays the same after a change.
func TestUnchangedListIsNotSent(t *testing.T) {
	s, tag := New([]Target{{Labels: map[string]string{"id": "a", "state": "live"}}}), ""
	for _, expected := range []int{http.StatusOK, http.StatusNotModified, http.StatusOK, http.StatusNotModified} {
		r, w := httptest.NewRequest(http.MethodGet, "/hosts", nil), httptest.NewRecorder()
		r.Header.Set("If-None-Match", tag)
		if s.ServeHTTP(w, r); w.Code != expected {
			t.Fatalf("status %d, expected %d", w.Code, expected)
		}
		if tag = w.Header().Get("ETag"); w.Code == http.StatusNotModified {
			s.SetState("a", "leaving")
		}
	}
}
