// Package ownershiptest provides a Directory with settable claims for tests.
package ownershiptest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/ownership"
)

// Cell holds the claims of a cell; each daemon under test has its own Directory of
// it. It is safe for concurrent use.
type Cell struct {
	mu      sync.Mutex
	claims  map[ownership.Resource]ownership.Claim
	earlier map[ownership.Resource][]peer.Ref
	notes   map[ownership.Resource][]string
	changed chan struct{}
}

// NewCell returns a cell without claims.
func NewCell() *Cell {
	return &Cell{
		claims:  make(map[ownership.Resource]ownership.Claim),
		earlier: make(map[ownership.Resource][]peer.Ref),
		notes:   make(map[ownership.Resource][]string),
		changed: make(chan struct{}),
	}
}

// Set makes owner the owner of r in the next epoch and returns the grant.
func (c *Cell) Set(r ownership.Resource, owner peer.Ref) ownership.Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.claims[r]
	claim := ownership.Claim{Resource: r, Owner: owner, Epoch: previous.Epoch + 1}
	if previous.Epoch > 0 && !previous.Released {
		c.earlier[r] = append(slices.Clone(c.earlier[r]), previous.Owner)
	}
	c.claims[r] = claim
	c.notify()
	return ownership.Grant{
		Claim: claim, Previous: previous, EarlierOwners: slices.Clone(c.earlier[r]), Notes: slices.Clone(c.notes[r]),
	}
}

// Release marks the claim of r as released.
func (c *Cell) Release(r ownership.Resource) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim := c.claims[r]
	claim.Released = true
	c.claims[r] = claim
	c.notify()
}

// Claim returns the newest claim of r.
func (c *Cell) Claim(r ownership.Resource) ownership.Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claims[r]
}

func (c *Cell) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Directory is one daemon's view of a Cell. It implements
// ownership.Directory, and Confirm and Epochs as the Manager does.
type Directory struct {
	cell *Cell
	self peer.Ref

	mu     sync.Mutex
	frozen map[ownership.Resource]ownership.Claim
	start  time.Duration
	renew  time.Duration
}

// Directory returns the view of the daemon self with an authority of a day.
func (c *Cell) Directory(self peer.Ref) *Directory {
	return &Directory{cell: c, self: self, start: 24 * time.Hour, renew: 24 * time.Hour}
}

// SetAuthority fixes what Authority returns.
func (d *Directory) SetAuthority(start, renew time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.start, d.renew = start, renew
}

// Freeze makes the daemon see no further claims, as if it were partitioned.
func (d *Directory) Freeze() {
	claims := d.claims()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen = claims
}

// Thaw ends Freeze.
func (d *Directory) Thaw() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen = nil
}

func (d *Directory) claims() map[ownership.Resource]ownership.Claim {
	d.mu.Lock()
	frozen := d.frozen
	d.mu.Unlock()
	if frozen != nil {
		return frozen
	}
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	return maps.Clone(d.cell.claims)
}

// Owner implements ownership.Directory.
func (d *Directory) Owner(r ownership.Resource) (ownership.Claim, bool) {
	c, ok := d.claims()[r]
	return c, ok && !c.Released
}

// Owned implements ownership.Directory.
func (d *Directory) Owned(prefix string) []ownership.Claim {
	var owned []ownership.Claim
	for r, c := range d.claims() {
		if strings.HasPrefix(string(r), prefix) && c.Owner == d.self && !c.Released {
			owned = append(owned, c)
		}
	}
	slices.SortFunc(owned, func(a, b ownership.Claim) int {
		return strings.Compare(string(a.Resource), string(b.Resource))
	})
	return owned
}

// Changed implements ownership.Directory.
func (d *Directory) Changed() <-chan struct{} {
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	return d.cell.changed
}

// Authority implements ownership.Directory.
func (d *Directory) Authority() (start, renew time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.start, d.renew
}

// Observe implements ownership.Directory: it records a claim with a higher epoch.
func (d *Directory) Observe(c ownership.Claim) {
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	if c.Epoch > d.cell.claims[c.Resource].Epoch {
		d.cell.claims[c.Resource] = c
		d.cell.notify()
	}
}

// Confirm returns nil when the cell still holds claim c.
func (d *Directory) Confirm(ctx context.Context, c ownership.Claim) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if held := d.cell.Claim(c.Resource); !held.Same(c) || held.Released {
		return ownership.ErrNotOwner
	}
	return nil
}

// SaveMemo stores a memo like Manager.SaveMemo.
func (d *Directory) SaveMemo(ctx context.Context, c ownership.Claim, memo ownership.Memo) error {
	if err := d.Confirm(ctx, c); err != nil {
		return err
	}
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	d.cell.notes[c.Resource] = memo.Notes
	if memo.EarlierFenced {
		delete(d.cell.earlier, c.Resource)
	}
	return nil
}

// Epochs returns the epochs of the cell's claims of a prefix.
func (d *Directory) Epochs(ctx context.Context, prefix string) (map[ownership.Resource]uint64, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	epochs := make(map[ownership.Resource]uint64)
	for r, c := range d.cell.claims {
		if strings.HasPrefix(string(r), prefix) {
			epochs[r] = c.Epoch
		}
	}
	return epochs, nil
}
