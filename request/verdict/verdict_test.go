package verdict

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestErrorWithoutACauseIsAnswered guards against a caller that gets no answer because the code that
// refused its request lost the cause.
func TestErrorWithoutACauseIsAnswered(t *testing.T) {
	e := &Error{Verdict: NotRun, Status: http.StatusServiceUnavailable, Code: "x", RetryAfterMillis: 400}
	require.Equal(t, "x (not-run): no cause recorded", e.Error())
	w := httptest.NewRecorder()
	e.WriteHTTP(w, "r")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	var body Body
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	require.Equal(t, NotRun, body.Verdict)
}
