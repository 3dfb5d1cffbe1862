package administrator

import "net/http"

// route is one method of one path, with the permission it requires.
type route struct {
	method string
	path   string
	access access
	serve  handler
}

// routes returns all routes. docs/openapi.yaml describes each of them.
func (s *server) routes() []route {
	return []route{
		{http.MethodGet, "/v1/healthz", accessAnyone, s.getHealth},
		{http.MethodGet, "/metrics", accessAnyone, s.getMetrics},
		{http.MethodGet, "/v1/status", accessReader, s.getStatus},
		{http.MethodGet, "/v1/accounts", accessReader, s.getAccounts},
		{http.MethodGet, "/v1/upstreams", accessReader, s.getUpstreams},
		{http.MethodGet, "/v1/placement", accessReader, s.getPlacement},
		{http.MethodGet, "/v1/history", accessReader, s.getHistory},
		{http.MethodGet, "/v1/document", accessReader, s.getDocument},
		{http.MethodGet, "/v1/document/{section}", accessReader, s.getDocument},
		{http.MethodPut, "/v1/document", accessEditor, s.putDocument},
		{http.MethodPut, "/v1/document/{section}", accessEditor, s.putDocument},
		{http.MethodGet, "/v1/dump", accessOperator, s.getDump},
		{http.MethodGet, "/v1/backup", accessOperator, s.getBackup},
		{http.MethodPut, "/v1/evacuations/{zone}", accessOperator, s.putEvacuation},
		{http.MethodDelete, "/v1/evacuations/{zone}", accessOperator, s.deleteEvacuation},
		{http.MethodPost, "/v1/drain", accessOperator, s.postDrain},
		{http.MethodPost, "/v1/voters/replace", accessOperator, s.postReplace},
	}
}
