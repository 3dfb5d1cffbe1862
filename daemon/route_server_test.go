package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// TestBounds derives the bounds from the settings, the memory limit and the limit
// of file descriptors.
func TestBounds(t *testing.T) {
	tests := map[string]struct {
		settings redwingshunt.Settings
		want     bounds
	}{
		"nothing set": {redwingshunt.Settings{}, bounds{}},
		"requests set": {
			redwingshunt.Settings{Most: 9, Memory: 1 << 30},
			bounds{requests: 9, keptConnections: 4096, openConnections: 4105},
		},
		"connections set": {
			redwingshunt.Settings{Kept: 9, Memory: 1 << 30},
			bounds{requests: 4096, keptConnections: 9, openConnections: 4105},
		},
		"without memory": {redwingshunt.Settings{Kept: 9}, bounds{keptConnections: 9}},
		"enough file descriptors": {
			redwingshunt.Settings{Memory: 184 << 20, Files: 4100},
			bounds{requests: 736, keptConnections: 736, openConnections: 1472, idleUpstreamConnections: 875},
		},
		"few file descriptors": {
			redwingshunt.Settings{Memory: 184 << 20, Files: 1024},
			bounds{requests: 128, keptConnections: 256, openConnections: 256, idleUpstreamConnections: 128},
		},
		"only file descriptors": {
			redwingshunt.Settings{Files: 2600},
			bounds{requests: 500, keptConnections: 1000, openConnections: 1000, idleUpstreamConnections: 500},
		},
		"only memory": {
			redwingshunt.Settings{Memory: 184 << 20},
			bounds{requests: 736, keptConnections: 736, openConnections: 1472},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(boundsOf(test.settings), test.want)
		})
	}
}

// TestConnectionsOfCallers opens more connections than an instance keeps, and
// leaves the kept ones idle for longer than the limit in the document. The
// instance must close the additional one after its answer and the idle ones at the
// limit.
func TestConnectionsOfCallers(t *testing.T) {
	is := is.New(t)
	settings := testSettings(0, nil)
	settings.Routes, settings.Kept = settings.Listen, 2
	document := &redwingshunt.Document{Limits: redwingshunt.RequestLimits{Idle: 200 * time.Millisecond}}
	n := runNode(t, settings, func(o *Options) { o.Document = document })
	var sockets []net.Conn
	for i := range 3 {
		socket, err := new(net.Dialer).DialContext(t.Context(), "tcp", n.sockets.routes.Addr().String())
		is.NoErr(err)
		defer socket.Close()
		sockets = append(sockets, socket)
		_, err = socket.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(socket), nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.Close, i == 2) // the third exceeds settings.Kept
	}
	is.NoErr(sockets[0].SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := sockets[0].Read(make([]byte, 1))
	is.True(err != nil)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // closed by the instance
}

// TestAnnouncedUpstreamServesRoutes announces an upstream over HTTP at one
// instance. The routes of another instance must reach it until it is removed.
func TestAnnouncedUpstreamServesRoutes(t *testing.T) {
	is := is.New(t)
	dialect := redwingshunt.DefaultDialect()
	document := &redwingshunt.Document{
		Services: []redwingshunt.Service{{Name: "desk"}},
		Routes: []redwingshunt.Route{{
			Name: "desk", Host: "h", Prefix: "/desk/", Kind: redwingshunt.RouteSafe, Limit: time.Second, Attempts: 1,
			Targets: []redwingshunt.Target{{Service: "desk", Weight: 1}},
		}},
	}
	options := func(o *Options) { o.Document = document }
	announced := runNode(t, testSettings(0, nil), options)
	settings := testSettings(1, []netip.AddrPort{announced.Link()})
	settings.Routes = settings.Listen
	router := runNode(t, settings, options)
	upstream := mimic.NewUpstream(mimic.UpstreamOptions{ID: "d1", Dialect: dialect, Slots: 4})
	is.NoErr(upstream.Start())
	t.Cleanup(upstream.Stop)

	call := func(method, url, body string, change func(*http.Request)) int {
		request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
		is.NoErr(err)
		change(request)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		return response.StatusCode
	}
	unchanged := func(*http.Request) {}
	announcements := "http://" + announced.Listen().String() + "/v1/upstreams"
	is.Equal(call(http.MethodPost, announcements,
		fmt.Sprintf(`{"id":"d1","service":"desk","address":%q,"slots":4,"ttl":60000}`, upstream.Address()), unchanged), 200)
	ask := func() int {
		return call(http.MethodGet, "http://"+router.sockets.routes.Addr().String()+"/desk/1", "", func(r *http.Request) {
			r.Host = "h"
			r.Header.Set(dialect.Request, "r1")
		})
	}
	eventually(t, func() bool { return ask() == 200 })
	is.Equal(call(http.MethodDelete, announcements+"/desk/d1", "", unchanged), 204)
	eventually(t, func() bool { return ask() == 503 })
}

// TestNotReadyWhileOverloaded checks that an instance which refuses requests at
// its limit of concurrent requests reports not ready, and ready again once a
// request has ended.
func TestNotReadyWhileOverloaded(t *testing.T) {
	is := is.New(t)
	dialect := redwingshunt.DefaultDialect()
	settings := testSettings(0, nil)
	settings.Routes, settings.Most = settings.Listen, 1
	settings.Ready = settings.Listen
	n := runNode(t, settings, func(o *Options) {
		o.Document = &redwingshunt.Document{
			Services: []redwingshunt.Service{{Name: "desk"}},
			Routes: []redwingshunt.Route{{
				Name: "desk", Host: "h", Prefix: "/desk/", Kind: redwingshunt.RouteOnce, Limit: waitTimeout, Attempts: 1,
				Targets: []redwingshunt.Target{{Service: "desk", Weight: 1}},
			}},
		}
	})
	upstream := mimic.NewUpstream(mimic.UpstreamOptions{ID: "d1", Dialect: dialect, Slots: 4})
	is.NoErr(upstream.Start())
	t.Cleanup(upstream.Stop)
	upstream.Misbehave(mimic.Hang, 1)
	n.enroller.Enroll(upstream.State("desk", 1))
	ask := func(ctx context.Context, url string) int {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		is.NoErr(err)
		request.Host = "h"
		request.Header.Set(dialect.Request, "r1")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	ready := func() int { return ask(t.Context(), "http://"+n.sockets.ready.Addr().String()+"/") }
	route := "http://" + n.sockets.routes.Addr().String() + "/desk/1"
	eventually(t, func() bool { return ready() == 200 })
	callContext, cancelCall := context.WithCancel(t.Context())
	ended := make(chan int, 1)
	go func() { ended <- ask(callContext, route) }()
	eventually(t, func() bool { return upstream.Runs("r1") == 1 })
	eventually(t, func() bool { return ask(t.Context(), route) == 503 && ready() == 503 })
	cancelCall()
	<-ended
	eventually(t, func() bool { return ready() == 200 })
	eventually(t, func() bool { return ask(t.Context(), route) == 200 })
}
