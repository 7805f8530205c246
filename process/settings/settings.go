// Package settings reads a daemon's settings file: JSON with the daemon's name,
// addresses, availability zone and limits. A file is checked as a whole, and all
// problems are reported at once.
package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Addresses of a daemon, each host:port with an IP address as the host.
type Addresses struct {
	// Caller is where callers' requests arrive (TCP).
	Caller string `json:"caller"`
	// Forward is where other daemons forward requests (TCP, mutual TLS).
	Forward string `json:"forward"`
	// Peer is where other daemons' calls arrive (UDP).
	Peer string `json:"peer"`
	// Admin is where the administration API, health and metrics are served (TCP).
	Admin string `json:"admin"`
}

// KeyFiles names PEM files, which are reloaded when they change.
type KeyFiles struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA verifies the other side; required between daemons.
	CA string `json:"ca,omitempty"`
}

// TLS names the key files of a daemon.
type TLS struct {
	// Callers is optional: without it callers are served over plain HTTP, for
	// a load balancer that terminates TLS.
	Callers *KeyFiles `json:"callers,omitempty"`
	Peers   *KeyFiles `json:"peers,omitempty"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// Store is the key-value service's base URL.
	Store string `json:"store"`
	// VMList is the base URL of the list of VMs.
	VMList string `json:"vm_list"`
}

// Leases holds the bounds of ownership. See docs/OWNERSHIP.md for how they
// relate.
type Leases struct {
	// Member is the time to live of the daemon's lease in the store.
	Member spec.Duration `json:"member,omitempty"`
	// Start bounds how long, after the last renewal of the lease in the store, new
	// work is started.
	Start spec.Duration `json:"start,omitempty"`
	// Renew bounds how long, after the same renewal, the leases of running work are
	// renewed. It is not less than Start.
	Renew spec.Duration `json:"renew,omitempty"`
}

// Limits of the request path.
type Limits struct {
	// MaxBodyBytes bounds a request's body; 0 means 1 GiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// CallerRequestsPerSecond bounds one caller; 0 means no bound.
	CallerRequestsPerSecond float64 `json:"caller_requests_per_second,omitempty"`
	// MaxQueued bounds the requests that wait in this daemon for a slot; 0 means
	// 4096.
	MaxQueued int `json:"max_queued,omitempty"`
}

// Settings of one daemon.
type Settings struct {
	// Name stays the same over restarts of the daemon and is unique in the cell.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Listen holds the addresses to listen on.
	Listen Addresses `json:"listen"`
	// Advertise holds the addresses at which other daemons and callers reach this
	// daemon; an empty one defaults to the listening address.
	Advertise Addresses `json:"advertise,omitzero"`
	Platform  Platform  `json:"platform"`
	TLS       TLS       `json:"tls,omitzero"`
	// Seeds are peer addresses of other daemons, for joining while the store is down.
	Seeds []string `json:"seeds,omitempty"`
	// Tokens names the file of administration tokens; see docs/ADMIN.md.
	Tokens string `json:"tokens,omitempty"`
	// Shards is the number of shards among which teams are distributed; it must be
	// the same on every daemon. 0 means 16.
	Shards   int           `json:"shards,omitempty"`
	Leases   Leases        `json:"leases,omitzero"`
	Limits   Limits        `json:"limits,omitzero"`
	Drain    spec.Duration `json:"drain,omitempty"` // bound of a planned stop; 0 means 60 s
	LogLevel string        `json:"log_level,omitempty"`
}

// Defaults of optional settings.
const (
	DefaultShards      = 16
	DefaultMemberLease = 5 * time.Second
	DefaultStartBound  = ownership.DefaultStartBound
	DefaultRenewBound  = ownership.DefaultRenewBound
	DefaultDrain       = 60 * time.Second
	DefaultMaxBody     = 1 << 30
	DefaultMaxQueued   = 4096
)

// maxShards bounds the number of shards, since each is a claim in the store.
const maxShards = 1024

// Problem is one fault of a settings file.
type Problem struct {
	File, Field, Message, Fix string
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: field %s: %s; %s", p.File, p.Field, p.Message, p.Fix)
}

// Load reads a settings file, fills in defaults and checks it. All problems are
// returned, joined into one error.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse is like Load for data already read; name stands for the file in errors.
func Parse(name string, data []byte) (*Settings, error) {
	s := &Settings{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, fmt.Errorf("%s: %w; see docs/OPERATIONS.md for the fields", name, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%s: text after the settings object; remove it", name)
	}
	s.Complete()
	return s, s.check(name)
}

// Complete sets fields that are left out to their defaults.
func (s *Settings) Complete() {
	s.Shards = cmp.Or(s.Shards, DefaultShards)
	s.Leases.Member = cmp.Or(s.Leases.Member, spec.Duration(DefaultMemberLease))
	s.Leases.Start = cmp.Or(s.Leases.Start, spec.Duration(DefaultStartBound))
	s.Leases.Renew = cmp.Or(s.Leases.Renew, spec.Duration(DefaultRenewBound))
	s.Drain = cmp.Or(s.Drain, spec.Duration(DefaultDrain))
	s.Limits.MaxBodyBytes = cmp.Or(s.Limits.MaxBodyBytes, DefaultMaxBody)
	s.Limits.MaxQueued = cmp.Or(s.Limits.MaxQueued, DefaultMaxQueued)
	s.LogLevel = cmp.Or(s.LogLevel, "info")
	s.Advertise.Caller = cmp.Or(s.Advertise.Caller, s.Listen.Caller)
	s.Advertise.Forward = cmp.Or(s.Advertise.Forward, s.Listen.Forward)
	s.Advertise.Peer = cmp.Or(s.Advertise.Peer, s.Listen.Peer)
	s.Advertise.Admin = cmp.Or(s.Advertise.Admin, s.Listen.Admin)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checker collects the problems of one file.
type checker struct {
	file string
	errs []error
}

func (c *checker) want(ok bool, field, message, fix string) {
	if !ok {
		c.errs = append(c.errs, &Problem{File: c.file, Field: field, Message: message, Fix: fix})
	}
}

func (s *Settings) check(file string) error {
	c := &checker{file: file}
	c.want(namePattern.MatchString(s.Name), "name", fmt.Sprintf("%q is not a valid name", s.Name),
		"use lower-case letters, digits and dashes, at most 63")
	c.want(namePattern.MatchString(s.Zone), "zone", fmt.Sprintf("%q is not a valid availability zone", s.Zone),
		"use lower-case letters, digits and dashes, at most 63")
	s.checkAddresses(c)
	s.checkPlatform(c)
	c.want(s.Shards > 0 && s.Shards <= maxShards, "shards", fmt.Sprintf("%d is out of range", s.Shards),
		fmt.Sprintf("use 1 to %d, the same on every daemon", maxShards))
	c.want(s.Leases.Member > 0 && s.Leases.Member < s.Leases.Start, "leases.member", "must be shorter than leases.start",
		"use for example \"10s\"")
	c.want(s.Leases.Start <= s.Leases.Renew, "leases.start", "is longer than leases.renew",
		"the right to renew running work must last at least as long as the right to start new work")
	c.want(s.Tokens != "", "tokens", "is missing", "name the file of administration tokens; 'fennelctl token' generates an entry")
	host, _, _ := net.SplitHostPort(s.Listen.Admin)
	c.want(s.TLS.Callers != nil || net.ParseIP(host).IsLoopback(), "tls.callers", "is missing while listen.admin is not a loopback address",
		"name cert and key, so that tokens do not cross the network unencrypted")
	_, err := zerolog.ParseLevel(s.LogLevel)
	c.want(err == nil, "log_level", fmt.Sprintf("%q is not a log level", s.LogLevel), "use debug, info, warn or error")
	c.want(s.Limits.MaxBodyBytes > 0, "limits.max_body_bytes", "is negative", "use a positive number or leave it out")
	c.want(s.Limits.MaxQueued > 0, "limits.max_queued", "is negative", "use a positive number or leave it out")
	return errors.Join(c.errs...)
}

func (s *Settings) checkAddresses(c *checker) {
	for _, a := range []struct{ field, value string }{
		{"listen.caller", s.Listen.Caller}, {"listen.forward", s.Listen.Forward},
		{"listen.peer", s.Listen.Peer}, {"listen.admin", s.Listen.Admin},
		{"advertise.caller", s.Advertise.Caller}, {"advertise.forward", s.Advertise.Forward},
		{"advertise.peer", s.Advertise.Peer}, {"advertise.admin", s.Advertise.Admin},
	} {
		host, _, err := net.SplitHostPort(a.value)
		c.want(err == nil && net.ParseIP(host) != nil, a.field, fmt.Sprintf("%q is not a valid address", a.value),
			"use an IP address and a port, such as 10.0.0.7:8443")
	}
	for i, seed := range s.Seeds {
		_, _, err := net.SplitHostPort(seed)
		c.want(err == nil, fmt.Sprintf("seeds[%d]", i), fmt.Sprintf("%q is not a valid address", seed), "use host:port of a daemon's peer address")
	}
}

func (s *Settings) checkPlatform(c *checker) {
	for _, u := range []struct{ field, value string }{{"platform.store", s.Platform.Store}, {"platform.vm_list", s.Platform.VMList}} {
		parsed, err := url.Parse(u.value)
		c.want(err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != "", u.field,
			fmt.Sprintf("%q is not a base URL", u.value), "use for example http://10.0.0.2:7000")
	}
	c.want(s.TLS.Peers != nil, "tls.peers", "is missing", "name cert, key and ca; 'fennelctl keys' generates a set for testing")
	if p := s.TLS.Peers; p != nil {
		c.want(p.Cert != "" && p.Key != "" && p.CA != "", "tls.peers", "is not complete", "name cert, key and ca")
	}
	if p := s.TLS.Callers; p != nil {
		c.want(p.Cert != "" && p.Key != "", "tls.callers", "is not complete", "name cert and key")
	}
}
