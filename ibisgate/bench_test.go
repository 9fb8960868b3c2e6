package ibisgate

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"

	"ibiscrank/ibiswork"
)

// BenchmarkSubmit measures one submission through the gate with a fake scheduler and 140 teams.
func BenchmarkSubmit(b *testing.B) {
	d := newDaemon()
	for i := range 140 {
		name := fmt.Sprintf("team-%d", i)
		d.snap.Teams[name] = d.snap.Teams["quotes"]
	}
	d.snap = d.snap.Indexed()
	router := mux.NewRouter()
	New(&fakeScheduler{}, d, d).Register(router)
	for _, size := range []int{100, 10_000, 500_000} {
		b.Run(fmt.Sprintf("Payload=%d", size), func(b *testing.B) {
			body := fmt.Sprintf(`{"ID":%q,"Class":"Interactive","Payload":%q}`, ibiswork.NewID(), strings.Repeat("AAAA", size/3))
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(body))
				r.Header.Set("Authorization", "Bearer "+testKey)
				w := httptest.NewRecorder()
				router.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatal(w.Body.String())
				}
			}
		})
	}
}
