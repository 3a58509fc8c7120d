package refuse_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/refuse"
)

func ExampleWrite() {
	w := httptest.NewRecorder()
	refuse.Write(w, "r-1", &refuse.Error{Reason: refuse.Overload, Run: refuse.NotRun, RetryAfter: 1500 * time.Millisecond})
	fmt.Println(w.Code, w.Header().Get("Retry-After"))
	fmt.Print(w.Body.String())
	// Output:
	// 503 2
	// {"type":"about:blank#overload","title":"The service is overloaded","status":503,"reason":"overload","run":"no","request":"r-1"}
}

// Guards against a reason that is missing from the table and would be sent with
// status 0.
func TestEveryReasonHasAStatus(t *testing.T) {
	is := is.New(t)
	for _, r := range refuse.Reasons() {
		is.True(r.Status() >= http.StatusBadRequest)
		is.True(r.Title() != "")
	}
}
