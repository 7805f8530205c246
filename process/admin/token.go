package admin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Role determines what the holder of a token may do.
type Role string

// Roles.
const (
	RoleOperator Role = "operator" // sees and changes everything
	RoleTeam     Role = "team"     // sees and changes the work of one team
)

// Principal is the authenticated caller.
type Principal struct {
	// Name is written to the audit log and the history.
	Name string
	Role Role
	// Team is set for RoleTeam.
	Team string
}

// canSee reports whether the work of a team is visible.
func (p Principal) canSee(team string) bool {
	return p.Role == RoleOperator || team != "" && team == p.Team
}

// tokenEntry is one entry of a token file.
type tokenEntry struct {
	Name string `json:"name"`
	// SHA256 is the hash of the token in hexadecimal. A plain hash is sufficient for
	// a token of 32 random bytes, which cannot be guessed from its hash.
	SHA256 string `json:"sha256"`
	Role   Role   `json:"role"`
	Team   string `json:"team,omitempty"`
}

// MinTokenLength is the shortest token accepted, in bytes: shorter ones could be
// guessed from their hash.
const MinTokenLength = 32

// maxTokenFile is the largest token file read, in bytes.
const maxTokenFile = 1 << 20

type tokenHash [sha256.Size]byte

// HashToken returns the hash to put into a token file.
func HashToken(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}

// tokenTable is the content of a token file.
type tokenTable []struct {
	hash      tokenHash
	principal Principal
}

// parseTokens parses a token file. All errors are returned, joined into one.
func parseTokens(data []byte) (tokenTable, error) {
	var file struct {
		Tokens []tokenEntry `json:"tokens"`
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&file); err != nil {
		return nil, fmt.Errorf("token file: %w", err)
	}
	table := make(tokenTable, len(file.Tokens))
	var faults []error
	for i, e := range file.Tokens {
		hash, err := e.check()
		if err != nil {
			faults = append(faults, fmt.Errorf("token file: tokens[%d]: %w", i, err))
		}
		table[i].hash = hash
		table[i].principal = Principal{Name: e.Name, Role: e.Role, Team: e.Team}
	}
	return table, errors.Join(faults...)
}

// check returns the decoded hash, or an error if the entry is not valid.
func (e tokenEntry) check() (tokenHash, error) {
	var hash tokenHash
	decoded, err := hex.DecodeString(e.SHA256)
	switch {
	case err != nil || len(decoded) != len(hash):
		return hash, errors.New("sha256: want 64 hexadecimal digits")
	case e.Name == "":
		return hash, errors.New("name: must not be empty")
	case e.Role != RoleOperator && e.Role != RoleTeam:
		return hash, fmt.Errorf("role: %q is neither %q nor %q", e.Role, RoleOperator, RoleTeam)
	case (e.Role == RoleTeam) != (e.Team != ""):
		return hash, fmt.Errorf("team: required for role %q and refused otherwise", RoleTeam)
	}
	copy(hash[:], decoded)
	return hash, nil
}

// lookUp finds the principal of a token. It compares with every entry in constant
// time, so that the duration reveals nothing about the entries.
func (t tokenTable) lookUp(token string) (Principal, bool) {
	if len(token) < MinTokenLength {
		return Principal{}, false
	}
	hash := sha256.Sum256([]byte(token))
	found := -1
	for i := range t {
		equal := subtle.ConstantTimeCompare(hash[:], t[i].hash[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return Principal{}, false
	}
	return t[found].principal, true
}

// DefaultTokenReload is the interval at which the token file is checked for changes.
const DefaultTokenReload = 5 * time.Second

// Tokens authenticates the bearer tokens of a file, which Serve reloads when it changes.
type Tokens struct {
	path  string
	log   zerolog.Logger
	table atomic.Pointer[tokenTable]
	last  []byte
}

// LoadTokens reads a token file.
func LoadTokens(path string, log zerolog.Logger) (*Tokens, error) {
	t := &Tokens{path: path, log: log}
	if _, err := t.reload(); err != nil {
		return nil, err
	}
	return t, nil
}

// Serve reloads the file when it changes, until ctx ends. If the file is invalid or
// missing, the tokens that were read last stay valid and the error is logged. It
// implements suture.Service.
func (t *Tokens) Serve(ctx context.Context) error {
	ticker := time.NewTicker(DefaultTokenReload)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		changed, err := t.reload()
		if err != nil {
			t.log.Error().Err(err).Msg("reloading the token file failed; the previous tokens stay valid")
		} else if changed {
			t.log.Info().Int("tokens", len(*t.table.Load())).Msg("token file reloaded")
		}
	}
}

// reload reads the file and reports whether it has changed.
func (t *Tokens) reload() (bool, error) {
	data, err := readLimited(t.path)
	if err != nil {
		return false, fmt.Errorf("token file: %w", err)
	}
	if t.last != nil && bytes.Equal(data, t.last) {
		return false, nil
	}
	table, err := parseTokens(data)
	if err != nil {
		return false, err
	}
	t.table.Store(&table)
	t.last = data
	return true, nil
}

func readLimited(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close() // only read
	data, err := io.ReadAll(io.LimitReader(f, maxTokenFile+1))
	if err == nil && len(data) > maxTokenFile {
		err = fmt.Errorf("larger than %d bytes", maxTokenFile)
	}
	return data, err
}

// Authenticate implements Authenticator.
func (t *Tokens) Authenticate(token string) (Principal, bool) { return t.table.Load().lookUp(token) }
