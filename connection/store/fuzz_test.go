package store_test

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

func FuzzOpenEnvelope(f *testing.F) {
	sealed, err := store.SealEnvelope(store.WriteID{1, 2}, []byte("data"))
	require.NoError(f, err)
	f.Add(sealed)
	f.Add([]byte{0x82, 0x40, 0x40})
	f.Fuzz(func(t *testing.T, value []byte) {
		id, data, err := store.OpenEnvelope(value)
		if err != nil {
			require.ErrorIs(t, err, store.ErrNotEnveloped)
			return
		}
		again, err := store.SealEnvelope(id, data)
		require.NoError(t, err)
		id2, data2, err := store.OpenEnvelope(again)
		require.NoError(t, err)
		require.Equal(t, id, id2)
		require.True(t, bytes.Equal(data, data2))
	})
}

func FuzzDecodeRefusal(f *testing.F) {
	f.Add([]byte(`{"code":"conflict","message":"x"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		err := store.DecodeRefusal(body)
		require.False(t, errors.Is(err, store.ErrUnknownOutcome), "a refusal is never unknown")
	})
}

// FuzzReply feeds replies to the adapter, which must neither panic nor report success
// for a reply that it cannot decode.
func FuzzReply(f *testing.F) {
	f.Add(200, []byte(`{"entries":[{"key":"k","value":"eA==","revision":3}],"revision":4}`))
	f.Add(404, []byte(`{"code":"not_found"}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 999 {
			return
		}
		client := &http.Client{Transport: replyWith{status, body}}
		s := store.NewHTTP("http://store", client)
		if _, err := s.Put(t.Context(), "k", nil, 0, 0); err == nil {
			require.Equal(t, http.StatusOK, status)
		}
		if e, err := s.Get(t.Context(), "k"); err != nil {
			require.Empty(t, e.Key)
		}
	})
}

// replyWith is a transport that gives the same answer to each request.
type replyWith struct {
	status int
	body   []byte
}

func (r replyWith) RoundTrip(*http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	recorder.WriteHeader(r.status)
	_, _ = recorder.Write(r.body)
	return recorder.Result(), nil
}

// FuzzRequest feeds requests to the stand-in's server.
func FuzzRequest(f *testing.F) {
	f.Add("/v1/put", []byte(`{"key":"k","value":"eA==","prev":0}`))
	f.Add("/v1/lease/grant", []byte(`{"ttl_ms":-5}`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		req := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body))
		req.URL.Path = path
		if path == "/v1/watch" {
			return // may wait as long as the request says
		}
		m := kv.New()
		recorder := httptest.NewRecorder()
		kv.Handler(m).ServeHTTP(recorder, req)
		if recorder.Code != http.StatusOK {
			require.Zero(t, m.Revision(), "a refused call has no effect")
		}
	})
}
