package relay

import (
	"bufio"
	"context"
	"errors"
	"expvar"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

const (
	// writeTimeout bounds writing a frame: a leader that does not read has failed, or
	// would delay every relay.
	writeTimeout = time.Second
	// readBuffer is the size of a connection's read buffer in bytes: a few frames of orders.
	readBuffer = 16 << 10
	// maxProblem bounds the text of an error that is sent to the leader, in bytes.
	maxProblem = 120
	// specShare is the share of an order's budget that may be spent on getting the job's
	// spec. The rest is for reporting a missing spec to the leader, which would otherwise
	// treat the worker as unresponsive.
	specShare = 0.8
)

// Caller calls other daemons.
type Caller interface {
	CallAddr(ctx context.Context, addr string, method peer.Method, req, resp any) (peer.Ref, error)
}

// ServerStats counts the orders that a relay received and the outcomes it lost.
type ServerStats struct {
	Carried expvar.Int // orders carried out
	Refused expvar.Int // orders of an earlier epoch
	Dropped expvar.Int // outcomes that did not reach the leader
}

// Each calls f with the name and value of every counter.
func (s *ServerStats) Each(f func(name string, v expvar.Var)) {
	f("orders_carried", &s.Carried)
	f("orders_refused", &s.Refused)
	f("outcomes_dropped", &s.Dropped)
}

// Server is a relay: it carries out the orders of the current leaders. It is safe for
// concurrent use.
type Server struct {
	direct runner.Runner
	log    zerolog.Logger
	stats  ServerStats
	specs  *specCache

	mu     sync.Mutex
	epochs map[int]uint64 // highest epoch seen, by shard
	conns  map[net.Conn]bool
}

// NewServer returns a relay that calls workers through direct.
func NewServer(direct runner.Runner, peers Caller, log zerolog.Logger) *Server {
	return &Server{direct: direct, log: log, specs: newSpecCache(peers), conns: map[net.Conn]bool{}, epochs: map[int]uint64{}}
}

// Stats returns the live counters.
func (s *Server) Stats() *ServerStats { return &s.stats }

// Register registers the method by which relays ask for specs.
func (s *Server) Register(r peer.Registrar) { s.specs.register(r) }

// CacheSpec caches the spec of a job that this daemon has accepted, for the daemons that start
// its tasks.
func (s *Server) CacheSpec(id work.JobID, spec string) { s.specs.cacheSpec(id, spec) }

// Spec returns the spec of a job, from the cache or from acceptedBy, the daemon that
// accepted the job. digest is that of the spec, 0 if it is not known. The error is that neither has it, or that
// ctx ended first.
func (s *Server) Spec(ctx context.Context, id work.JobID, acceptedBy string, digest uint64) (string, error) {
	return s.specs.get(ctx, id, acceptedBy, digest)
}

// Serve accepts connections of leaders until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { s.close(l) })
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		go s.ServeConn(conn)
	}
}

func (s *Server) close(l net.Listener) {
	if err := l.Close(); err != nil {
		s.log.Debug().Err(err).Msg("listener for orders not closed")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close() // its reader ends, whatever the error
	}
}

// ServeConn carries out the orders that arrive on a connection, until it ends.
func (s *Server) ServeConn(conn net.Conn) {
	s.track(conn, true)
	defer s.track(conn, false)
	defer func() { _ = conn.Close() }() // it has ended or is abandoned
	c := &leaderConn{s: s, conn: conn}
	c.out = &outbox[outcome]{linger: outcomesLinger, send: func(_ context.Context, batch []outcome) { c.send(relayFrame{Outcomes: batch}) }}
	r := bufio.NewReaderSize(conn, readBuffer)
	for {
		var m orders
		if err := peer.ReadFrame(r, &m); err != nil {
			if !errors.Is(err, io.EOF) {
				s.log.Debug().Err(err).Str("leader", conn.RemoteAddr().String()).Msg("connection from a leader ended")
			}
			return
		}
		c.handle(&m)
	}
}

func (s *Server) track(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = true
		return
	}
	delete(s.conns, conn)
}

// acceptEpoch raises the highest epoch of a shard, and reports whether orders of the given
// epoch are accepted.
func (s *Server) acceptEpoch(shard int, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epochs[shard] = max(s.epochs[shard], epoch)
	return epoch == s.epochs[shard]
}

func (s *Server) highestEpoch(shard int) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epochs[shard]
}

// leaderConn is one connection of a leader.
type leaderConn struct {
	s     *Server
	conn  net.Conn
	out   *outbox[outcome]
	shard atomic.Int64 // the leader's shard

	write sync.Mutex
}

// handle answers a frame of orders at once, together with waiting outcomes, and carries
// out the orders.
func (c *leaderConn) handle(m *orders) {
	c.shard.Store(int64(m.Shard))
	if !c.s.acceptEpoch(m.Shard, m.Epoch) {
		c.s.stats.Refused.Add(int64(len(m.Orders)))
		c.send(relayFrame{Accepted: m.Number})
		return
	}
	for _, spec := range m.Specs {
		c.s.specs.cacheSpec(spec.Job, spec.Spec)
	}
	c.send(relayFrame{Accepted: m.Number, Outcomes: c.out.take(false)})
	for i := range m.Orders {
		go func() { c.out.put(context.Background(), c.s.carryOut(m, &m.Orders[i])) }()
	}
}

// send writes a frame. If that fails, it closes the connection; the leader's orders then
// time out.
func (c *leaderConn) send(f relayFrame) {
	f.Epoch = c.s.highestEpoch(int(c.shard.Load()))
	f.collectIncarnations()
	frame, err := peer.EncodeFrame(f)
	if err == nil {
		c.write.Lock()
		defer c.write.Unlock()
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write does
		_, err = c.conn.Write(frame)
	}
	if err != nil {
		c.s.stats.Dropped.Add(int64(len(f.Outcomes)))
		c.s.log.Debug().Err(err).Int("outcomes", len(f.Outcomes)).Msg("outcomes not sent to the leader")
		_ = c.conn.Close()
	}
}

// carryOut makes the call of an order. It continues even if the leader has abandoned the
// order: orders are idempotent, and the worker refuses one that a later order supersedes.
func (s *Server) carryOut(m *orders, o *order) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(o.Budget)*time.Millisecond)
	defer cancel()
	s.stats.Carried.Add(1)
	result := outcome{Seq: o.Seq}
	err := s.call(ctx, m, o, &result)
	if result.Code = codeOf(err); result.Code != codeDone && result.Code != codeNoSpec {
		result.Problem = err.Error()
		result.Problem = result.Problem[:min(len(result.Problem), maxProblem)]
	}
	return result
}

// call calls the order's worker and stores its answer in the outcome.
func (s *Server) call(ctx context.Context, m *orders, o *order, result *outcome) error {
	epoch := m.Epoch
	to, until := runner.Ref{ID: o.Worker, Address: o.Address}, time.Duration(o.Until)*time.Millisecond
	switch o.Action {
	case doStart:
		spec, err := s.specInTime(ctx, o, m.Digests[o.Task.Job])
		if err != nil {
			return err
		}
		result.Clock, err = s.direct.Start(ctx, to, runner.Start{Task: o.Task, Run: o.Run, Spec: spec, Checkpoint: o.Checkpoint,
			Ticket: o.Ticket, Epoch: epoch, Until: until})
		return err
	case doStop:
		return s.direct.Stop(ctx, to, o.Task, o.Run, epoch)
	case doRenew:
		report, err := s.direct.Renew(ctx, to, runner.Renewal{Epoch: epoch, Until: until,
			Acknowledge: o.Acknowledge, Wait: time.Duration(o.Wait) * time.Millisecond})
		var other *runner.IncarnationError
		if errors.As(err, &other) {
			result.incarnation, report = other.ID, other.Report
		}
		result.setReport(report)
		return err
	}
	return runner.ErrBadOrder
}

// specInTime returns the spec of a start's job, or the error to report to the leader.
func (s *Server) specInTime(ctx context.Context, o *order, digest uint64) (string, error) {
	limit := time.Duration(specShare * float64(o.Budget) * float64(time.Millisecond))
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	spec, err := s.Spec(bounded, o.Task.Job, o.AcceptedBy, digest)
	if err != nil && bounded.Err() != nil {
		err = errSpecLate
	}
	return spec, err
}
