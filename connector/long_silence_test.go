package connector_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt/connector"
)

// TestUpstreamThatWasSilentForLongerIsNotSilent guards against a request that ends since
// its upstream answers a new connection, while the first probe was given up in its silence.
func TestUpstreamThatWasSilentForLongerIsNotSilent(t *testing.T) {
	for name, silence := range map[string]time.Duration{
		"0.9 s": 900 * time.Millisecond, "1 s": time.Second, "1.1 s": 1100 * time.Millisecond, "2.2 s": 2200 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var goesOn atomic.Pointer[time.Time]
			upstream := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if at := goesOn.Load(); at != nil {
					time.Sleep(time.Until(*at))
				}
				if r.Method != http.MethodOptions {
					time.Sleep(1500 * time.Millisecond) // the work itself
					_, _ = w.Write([]byte("late"))
				}
			}))
			upstream.Config.DisableGeneralOptionsHandler = true
			upstream.Start()
			defer upstream.Close()
			c := connector.New(connector.Options{Dial: (&net.Dialer{}).DialContext})
			defer c.CloseIdleConnections()
			go func() {
				awaitProbes(c, 1) // the connection for probes is open
				at := time.Now().Add(silence)
				goesOn.Store(&at)
			}()
			text, err := get(t.Context(), c, upstream.URL)
			is.NoErr(err)
			is.Equal(text, "late")
		})
	}
}
