package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/admin"
	"fennelshunt.example/fennelshunt/process/admin/api"
	"fennelshunt.example/fennelshunt/process/versions"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/history"
	"fennelshunt.example/fennelshunt/version/spec"
)

const token = "a-token-of-32-characters-or-more-1234"

// oneDaemon is an Applier over a store, with a single daemon that has the applied
// version in force unless it lags.
type oneDaemon struct {
	*history.History
	lags bool
}

func (o *oneDaemon) Apply(ctx context.Context, file *spec.File, base uint64, by history.By) (versions.Applied, error) {
	r, err := o.ApplyAs(ctx, file, base, by)
	return versions.Applied{Result: r}, err
}

func (o *oneDaemon) Await(_ context.Context, a *versions.Applied) {
	a.Members = []versions.MemberVersion{{Member: "d0", Version: a.Version, Known: true}}
	if o.lags {
		a.Lagging = a.Members
	}
}

func (o *oneDaemon) Latest(ctx context.Context) (*history.Snapshot, error) { return o.Current(ctx) }

func (o *oneDaemon) InForce() *history.Snapshot {
	s, _ := o.Current(context.Background())
	return s
}

// session runs commands against one daemon.
type session struct {
	t      *testing.T
	daemon *oneDaemon
	args   []string
	out    bytes.Buffer
	err    bytes.Buffer
}

type anyToken struct{}

func (anyToken) Authenticate(t string) (admin.Principal, bool) {
	return admin.Principal{Name: "olga", Role: admin.RoleOperator}, t == token
}

func newSession(t *testing.T) *session {
	daemon := &oneDaemon{History: history.New(store.NewClient(kv.New(), store.Options{}).Role(store.RoleVersions))}
	server := httptest.NewServer(admin.New(admin.Options{Authenticator: anyToken{}, Applier: daemon, Log: zerolog.Nop()}))
	t.Cleanup(server.Close)
	return &session{t: t, daemon: daemon, args: []string{"-addr", server.URL, "-token", token}}
}

// run runs a command line and returns its exit code.
func (s *session) run(args ...string) int {
	s.out.Reset()
	s.err.Reset()
	return Run(context.Background(), append(s.args, args...), strings.NewReader(""), &s.out, &s.err)
}

// write writes a file and returns its path.
func (s *session) write(text string) string {
	path := filepath.Join(s.t.TempDir(), "file.json")
	require.NoError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestApplyAndRead(t *testing.T) {
	s := newSession(t)
	example := filepath.Join("..", "..", "examples", "survey-desk.json")
	require.Equal(t, ExitOK, s.run("validate", example), s.err.String())
	require.Equal(t, ExitOK, s.run("apply", example), s.err.String())
	assert.Contains(t, s.out.String(), "applied as version 1")
	assert.Contains(t, s.out.String(), "in force")
	require.Equal(t, ExitOK, s.run("apply", "-base", "0", example))
	assert.Contains(t, s.out.String(), "unchanged, in force since version 1")
	require.Equal(t, ExitOK, s.run("files", "survey-desk"))
	fewer := strings.Replace(s.out.String(), `"count": 400`, `"count": 300`, 1)
	require.Equal(t, ExitOK, s.run("diff", s.write(fewer)))
	assert.Contains(t, s.out.String(), "~ jobs[structural-reports].count: 400 -> 300")
	require.Equal(t, ExitOK, s.run("apply", s.write(fewer)))
	require.Equal(t, ExitConflict, s.run("apply", "-base", "1", example))
	assert.Contains(t, s.err.String(), "version 2")
	require.Equal(t, ExitOK, s.run("-json", "history"))
	var past api.History
	require.NoError(t, json.Unmarshal(s.out.Bytes(), &past))
	assert.Len(t, past.Changes, 2)
	s.daemon.lags = true
	require.Equal(t, ExitLagging, s.run("apply", example))
}

func TestExitCodes(t *testing.T) {
	s := newSession(t)
	bad := s.write(`{"name":"x","jobs":[{"name":"UP","kind":"batch"}]}`)
	assert.Equal(t, ExitInvalid, s.run("apply", bad))
	assert.Contains(t, s.err.String(), "jobs[0].name")
	assert.Equal(t, ExitInvalid, s.run("validate", "-offline", bad))
	assert.Equal(t, ExitInvalid, s.run("apply", s.write(`{"name":"x","jobs":[{"name":"j","team":"none","kind":"batch","count":1,"size":{"milli_cpu":1,"memory_mb":1}}]}`)),
		"rejected by the daemon")
	assert.Contains(t, s.err.String(), `no file declares team "none"`)
	assert.Equal(t, ExitUsage, s.run("apply"))
	assert.Equal(t, ExitUsage, s.run("explain"))
	assert.Equal(t, ExitFailure, s.run("apply", "no-such-file.json"))
	assert.Equal(t, ExitFailure, s.run("report"), "the report is not served")
	s.args = []string{"-addr", "http://127.0.0.1:1"}
	assert.Equal(t, ExitUsage, s.run("status"), "no token")
}

// TestLostAnswerOfAnApplyIsUnknown guards against reporting a lost response as a
// refusal, after which the operator would give up: the daemon crashes while it
// responds to an apply.
func TestLostAnswerOfAnApplyIsUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	s := &session{t: t, args: []string{"-addr", server.URL, "-token", token}}
	assert.Equal(t, ExitUnknown, s.run("apply", "-base", "0", s.write(`{"name":"x","teams":[{"name":"t"}]}`)))
	assert.Contains(t, s.err.String(), "takes effect once")
	assert.Equal(t, ExitFailure, s.run("status"), "a read changes nothing")
}

func TestTokenEntryMatchesToken(t *testing.T) {
	s := &session{t: t}
	require.Equal(t, ExitOK, s.run("token", "-name", "n", "-team", "t"))
	assert.Contains(t, s.err.String(), admin.HashToken(strings.TrimSpace(s.out.String())))
}
