package replayer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/claimer"
	"github.com/redwingshunt/redwingshunt/replayer"
)

// claims is a fake claimer that returns a preset result and records how the claim ended.
type claims struct {
	result redwingshunt.ClaimResult
	ended  string
}

func (c *claims) Claim(context.Context, *redwingshunt.Request) (redwingshunt.ClaimResult, error) {
	return c.result, nil
}

func (c *claims) Finish(_ context.Context, _ *redwingshunt.Request, a *redwingshunt.Answer) error {
	c.ended = "interrupted"
	if a != nil {
		c.ended = "answered"
		c.result = redwingshunt.ClaimResult{State: redwingshunt.ClaimAnswered, Answer: a}
	}
	return nil
}

func (c *claims) Abandon(context.Context, *redwingshunt.Request) error {
	c.ended = "abandoned"
	return nil
}

func exchange(ctx context.Context, w http.ResponseWriter, stream bool) *redwingshunt.Exchange {
	return &redwingshunt.Exchange{
		Writer:  w,
		HTTP:    httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx),
		Request: &redwingshunt.Request{ID: "r", Key: "k", Once: true, Stream: stream},
	}
}

// TestRun runs a request whose caller has disconnected, and then resends it.
func TestRun(t *testing.T) {
	tests := map[string]struct {
		body     string
		err      error
		tooLarge bool
		stream   bool
		ended    string
	}{
		"answered":       {body: "done", ended: "answered"},
		"streamed":       {body: "data: done\n\n", stream: true, ended: "answered"},
		"large":          {body: strings.Repeat("x", 3*claimer.KeptLimitBytes), tooLarge: true, ended: "answered"},
		"not run":        {err: redwingshunt.NotRun(redwingshunt.ReasonDeadline, 503, ""), ended: "abandoned"},
		"may have run":   {err: redwingshunt.MayHaveRun(redwingshunt.ReasonStalled, 504, ""), ended: "interrupted"},
		"partial answer": {body: "do", err: redwingshunt.MayHaveRun(redwingshunt.ReasonTruncated, 502, ""), ended: "interrupted"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &claims{result: redwingshunt.ClaimResult{State: redwingshunt.ClaimGranted}}
			chain := replayer.New(c).Filter(redwingshunt.HandlerFunc(
				func(ctx context.Context, e *redwingshunt.Exchange) error {
					is.NoErr(ctx.Err()) // not cancelled when the caller disconnects
					is.NoErr(e.HTTP.Context().Err())
					if test.body == "" {
						return test.err
					}
					e.Started = true
					e.Writer.WriteHeader(http.StatusCreated)
					_, _ = e.Writer.Write([]byte(test.body))
					return test.err
				}))
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			first := httptest.NewRecorder()
			e := exchange(ctx, first, test.stream)
			is.Equal(chain.Serve(ctx, e), test.err)
			is.Equal(c.ended, test.ended)
			if test.err != nil {
				is.True(!e.Started) // nothing was forwarded, so the error can still be sent
				is.Equal(first.Body.Len(), 0)
				return
			}
			is.Equal(first.Body.String(), test.body)
			is.Equal(first.Code, http.StatusCreated)
			if test.tooLarge {
				is.True(len(c.result.Answer.Body) > claimer.KeptLimitBytes) // too large to keep
				return
			}
			second := httptest.NewRecorder()
			is.NoErr(chain.Serve(t.Context(), exchange(t.Context(), second, test.stream)))
			is.Equal(second.Body.String(), test.body)
			is.Equal(second.Code, http.StatusCreated)
			is.Equal(second.Header().Get(replayer.HeaderReplayed), "true")
		})
	}
}

func TestReplay(t *testing.T) {
	tests := map[redwingshunt.ClaimState]redwingshunt.Reason{
		redwingshunt.ClaimAnswered:    redwingshunt.ReasonNotKept,
		redwingshunt.ClaimInProgress:  redwingshunt.ReasonInProgress,
		redwingshunt.ClaimInterrupted: redwingshunt.ReasonInterrupted,
		redwingshunt.ClaimConflict:    redwingshunt.ReasonKeyConflict,
	}
	for state, reason := range tests {
		t.Run(string(state), func(t *testing.T) {
			is := is.New(t)
			c := &claims{result: redwingshunt.ClaimResult{State: state}}
			chain := replayer.New(c).Filter(redwingshunt.HandlerFunc(
				func(context.Context, *redwingshunt.Exchange) error {
					t.Fatal("request was dispatched without a granted claim")
					return nil
				}))
			err := chain.Serve(t.Context(), exchange(t.Context(), httptest.NewRecorder(), false))
			outcome := redwingshunt.OutcomeOf(err)
			is.Equal(outcome.Reason, reason)
			notRun := state == redwingshunt.ClaimConflict
			is.Equal(outcome.Outcome == redwingshunt.OutcomeNotRun, notRun)
		})
	}
}
