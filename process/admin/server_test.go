package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/peer/peertest"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/admin/api"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/fleet/fleettest"
	"fennelshunt.example/fennelshunt/process/versions"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/history"
	"fennelshunt.example/fennelshunt/version/spec"
)

const (
	operatorToken = "operator-token-of-32-characters-or-more"
	northToken    = "north-token-of-32-characters-or-more"
	southToken    = "south-token-of-32-characters-or-more"
)

func entry(name string, role Role, team, token string) string {
	return fmt.Sprintf(`{"name":%q,"role":%q,"team":%q,"sha256":%q}`, name, role, team, HashToken(token))
}

func tokenFile(t *testing.T, entries ...string) string {
	path := filepath.Join(t.TempDir(), "tokens.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"tokens":[`+strings.Join(entries, ",")+`]}`), 0o600))
	return path
}

// bench is a server on a cell of one daemon.
type bench struct {
	t     *testing.T
	url   string
	store *kv.Memory
	audit *bytes.Buffer
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, store: kv.New(), audit: new(bytes.Buffer)}
	tokens, err := LoadTokens(tokenFile(t, entry("olga", RoleOperator, "", operatorToken),
		entry("nina", RoleTeam, "north", northToken), entry("sara", RoleTeam, "south", southToken)), zerolog.Nop())
	require.NoError(t, err)
	self := fleet.Member{Ref: peer.Ref{ID: "d0", Incarnation: 1}}
	caller, mux := peertest.NewNetwork(1).Node(self.Ref)
	handle := store.NewClient(b.store, store.Options{Budget: store.Budget{Writes: 1e5, Reads: 1e5}}).Role(store.RoleVersions)
	h := history.New(handle)
	replicator := versions.New(versions.Options{Handle: handle, Caller: caller, Registrar: mux, Fleet: fleettest.NewView(self), History: h, Seed: 1})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = replicator.Serve(ctx) }()
	s := httptest.NewServer(New(Options{Authenticator: tokens, Applier: &versions.Applier{History: h, Replicator: replicator},
		Explainer: fakeExplainer{}, Status: fakeStatus{}, Log: zerolog.New(b.audit)}))
	t.Cleanup(func() { s.Close(); cancel(); <-done })
	b.url = s.URL
	return b
}

type fakeExplainer struct{}

func (fakeExplainer) Explain(_ context.Context, task spec.TaskID) (api.Explanation, error) {
	if task.Index > 0 {
		return api.Explanation{}, ErrUnknownTask
	}
	return api.Explanation{Task: task, State: "waiting"}, nil
}

type fakeStatus struct{}

func (fakeStatus) Status(context.Context) (api.Status, error) {
	return api.Status{Jobs: []api.Job{{Name: "n", Team: "north"}, {Name: "s", Team: "south"}}}, nil
}

// call makes a call, decodes the response into into and returns the status.
func (b *bench) call(token, method, path, body string, into any) int {
	request, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	require.NoError(b.t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	require.NoError(b.t, err)
	defer response.Body.Close()
	require.NoError(b.t, json.NewDecoder(response.Body).Decode(into))
	return response.StatusCode
}

// fails makes a call and asserts the code of its error.
func (b *bench) fails(code api.Code, token, method, path, body string) *api.Error {
	e := new(api.Error)
	status := b.call(token, method, path, body, e)
	assert.Equal(b.t, code, e.Code, "%s %s: %s", method, path, e.Message)
	assert.Equal(b.t, statusOf(code), status)
	return e
}

func teamsFile() string { return `{"name":"teams","teams":[{"name":"north"},{"name":"south"}]}` }

func jobFile(file, job, team string, count int) string {
	return fmt.Sprintf(`{"name":%q,"jobs":[{"name":%q,"team":%q,"kind":"batch","count":%d,"size":{"milli_cpu":1,"memory_mb":1}}]}`, file, job, team, count)
}

func (b *bench) apply(token, body string, base uint64) api.Applied {
	var applied api.Applied
	status := b.call(token, http.MethodPost, fmt.Sprintf("%s?base=%d", api.PathApply, base), body, &applied)
	require.Equal(b.t, http.StatusOK, status)
	return applied
}

func TestApplyDiffFilesHistory(t *testing.T) {
	b := newBench(t)
	applied := b.apply(operatorToken, teamsFile(), 0)
	assert.Equal(t, uint64(1), applied.Version)
	assert.Len(t, applied.Members, 1)
	assert.Empty(t, applied.Lagging)
	b.apply(northToken, jobFile("n", "n", "north", 1), 1)
	var diffed api.Diffed
	b.call(northToken, http.MethodPost, api.PathDiff, jobFile("n", "n", "north", 2), &diffed)
	assert.Equal(t, api.Diffed{File: "n", Base: 2, Differences: []spec.Difference{
		{Path: "jobs[n].count", Kind: spec.Changed, Before: "1", After: "2"}}}, diffed)
	b.apply(northToken, jobFile("n", "n", "north", 2), 2)
	e := b.fails(api.CodeConflict, northToken, http.MethodPost, api.PathApply+"?base=2", jobFile("n", "n", "north", 3))
	assert.Equal(t, uint64(3), e.Conflict.Version)
	assert.Equal(t, "nina", e.Conflict.Author)
	var file api.File
	b.call(northToken, http.MethodGet, api.PathFiles+"/n", "", &file)
	assert.Equal(t, 2, file.Content.Jobs[0].Count)
	var past api.History
	b.call(operatorToken, http.MethodGet, api.PathHistory+"?limit=2", "", &past)
	assert.Equal(t, []uint64{3, 2}, []uint64{past.Changes[0].Version, past.Changes[1].Version})
	assert.Equal(t, uint64(2), past.Before)
	assert.Contains(t, b.audit.String(), `"principal":"nina"`)
	assert.NotContains(t, b.audit.String(), northToken, "tokens are not logged")
}

// TestTeamSeesAndChangesOnlyItsOwn guards against a team that sees, stops or replaces another
// team's work: a team's token is used for the other team's files, jobs and tasks, and access must
// be checked by the content of a file, not by its name or by the call alone.
func TestTeamSeesAndChangesOnlyItsOwn(t *testing.T) {
	b := newBench(t)
	b.apply(operatorToken, teamsFile(), 0)
	b.apply(northToken, jobFile("n", "n", "north", 1), 1)
	b.apply(operatorToken, `{"name":"both","jobs":[`+inner("x", "north")+`,`+inner("y", "south")+`]}`, 2)
	refused := map[string]string{
		"take over a file":          jobFile("n", "s", "south", 1),
		"run as another team":       jobFile("s", "s", "north", 1),
		"one job of another team":   `{"name":"s","jobs":[` + inner("s", "south") + `,` + inner("s2", "north") + `]}`,
		"declare a quota":           `{"name":"s","teams":[{"name":"east","weight":9}]}`,
		"remove another's file":     `{"name":"n"}`,
		"remove the teams":          `{"name":"teams"}`,
		"replace a file of several": jobFile("both", "y", "south", 1),
	}
	for name, body := range refused {
		for _, path := range []string{api.PathApply + "?base=3", api.PathDiff, api.PathValidate} {
			t.Log(name)
			b.fails(api.CodeForbidden, southToken, http.MethodPost, path, body)
		}
	}
	b.fails(api.CodeNotFound, southToken, http.MethodGet, api.PathFiles+"/n", "")
	b.fails(api.CodeNotFound, southToken, http.MethodGet, api.PathFiles+"/both", "")
	b.fails(api.CodeNotFound, southToken, http.MethodGet, api.PathExplain+"?task=n/2/0", "")
	var files api.Files
	b.call(southToken, http.MethodGet, api.PathFiles, "", &files)
	assert.Empty(t, files.Files)
	var past api.History
	b.call(southToken, http.MethodGet, api.PathHistory, "", &past)
	assert.Empty(t, past.Changes)
	var status api.Status
	b.call(southToken, http.MethodGet, api.PathStatus, "", &status)
	assert.Equal(t, []api.Job{{Name: "s", Team: "south"}}, status.Jobs)
	b.apply(southToken, jobFile("s", "s", "south", 1), 3)
	b.apply(southToken, `{"name":"s"}`, 4)
	b.call(southToken, http.MethodGet, api.PathHistory, "", &past)
	assert.Len(t, past.Changes, 2, "its own changes, including the removal")
}

func inner(job, team string) string {
	return fmt.Sprintf(`{"name":%q,"team":%q,"kind":"batch","count":1,"size":{"milli_cpu":1,"memory_mb":1}}`, job, team)
}

func TestInvalidCallsGetReasons(t *testing.T) {
	b := newBench(t)
	b.apply(operatorToken, teamsFile(), 0)
	b.fails(api.CodeUnauthenticated, "", http.MethodGet, api.PathFiles, "")
	b.fails(api.CodeUnauthenticated, "x"+operatorToken, http.MethodGet, api.PathFiles, "")
	b.fails(api.CodeMethod, operatorToken, http.MethodPut, api.PathApply, "")
	b.fails(api.CodeNotFound, operatorToken, http.MethodGet, "/v1/elsewhere", "")
	b.fails(api.CodeUnsupported, operatorToken, http.MethodGet, api.PathReport, "")
	b.fails(api.CodeInvalid, operatorToken, http.MethodPost, api.PathApply, teamsFile())
	b.fails(api.CodeInvalid, operatorToken, http.MethodPost, api.PathApply+"?base=-1", teamsFile())
	b.fails(api.CodeInvalid, operatorToken, http.MethodPost, api.PathApply+"?base=77", `{"name":"a"}`)
	b.fails(api.CodeInvalid, operatorToken, http.MethodGet, api.PathExplain+"?task=x", "")
	b.fails(api.CodeNotFound, operatorToken, http.MethodGet, api.PathExplain+"?task=x/1/0", "")
	e := b.fails(api.CodeInvalid, operatorToken, http.MethodPost, api.PathApply+"?base=0&name=my.json", `{"name":"A","jobs":[{}]}`)
	assert.Len(t, e.Problems, 6)
	assert.Equal(t, "my.json", e.Problems[0].File)
	b.fails(api.CodeTooLarge, operatorToken, http.MethodPost, api.PathApply+"?base=0", strings.Repeat(" ", spec.MaxFileSize+1))
	b.store.SetFaults(kv.Faults{Down: true})
	b.fails(api.CodeUnavailable, operatorToken, http.MethodPost, api.PathApply+"?base=1", `{"name":"a","teams":[{"name":"east"}]}`)
}

func TestTokenFileReload(t *testing.T) {
	path := tokenFile(t, entry("olga", RoleOperator, "", operatorToken))
	tokens, err := LoadTokens(path, zerolog.Nop())
	require.NoError(t, err)
	for name, text := range map[string]string{
		"broken":         `{"tokens":[`,
		"unknown field":  `{"tokens":[],"extra":1}`,
		"bad hash":       `{"tokens":[{"name":"a","role":"operator","sha256":"00"}]}`,
		"bad role":       `{"tokens":[` + entry("a", "admin", "", northToken) + `]}`,
		"no team":        `{"tokens":[` + entry("a", RoleTeam, "", northToken) + `]}`,
		"team not empty": `{"tokens":[` + entry("a", RoleOperator, "t", northToken) + `]}`,
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := tokens.reload()
		require.Error(t, err, name)
		_, ok := tokens.Authenticate(operatorToken)
		require.True(t, ok, "an invalid file revokes no token")
	}
	require.NoError(t, os.WriteFile(path, []byte(`{"tokens":[`+entry("nina", RoleTeam, "north", northToken)+`]}`), 0o600))
	changed, err := tokens.reload()
	require.NoError(t, err)
	assert.True(t, changed)
	_, ok := tokens.Authenticate(operatorToken)
	assert.False(t, ok, "withdrawn")
	p, _ := tokens.Authenticate(northToken)
	assert.Equal(t, Principal{Name: "nina", Role: RoleTeam, Team: "north"}, p)
}

func FuzzParseTokens(f *testing.F) {
	f.Add([]byte(`{"tokens":[` + entry("a", RoleTeam, "t", northToken) + `]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := parseTokens(data)
		if err != nil {
			return
		}
		for _, e := range table {
			if (e.principal.Role == RoleOperator) == (e.principal.Team != "") {
				t.Fatalf("accepted %+v", e.principal)
			}
		}
	})
}
