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
	// writeTimeout bounds writing a frame: a leader that does not read is gone, or
	// makes every relay wait.
	writeTimeout = time.Second
	// readBuffer of a connection, in bytes: some frames of orders.
	readBuffer = 16 << 10
	// maxProblem bounds the text of an error that goes to the leader, in bytes.
	maxProblem = 120
	// textShare of an order's time may pass until the spec of its job is there: the
	// rest is for telling the leader that it is not, which otherwise takes the worker
	// for one that does not answer.
	textShare = 0.8
)

// Caller calls other daemons.
type Caller interface {
	CallAddr(ctx context.Context, addr string, method peer.Method, req, resp any) (peer.Ref, error)
}

// ServerStats counts what a relay did.
type ServerStats struct {
	Carried expvar.Int // orders carried out
	Refused expvar.Int // orders of an epoch that is over
	Dropped expvar.Int // outcomes that did not reach the leader
}

// Each calls f with the name and value of every counter.
func (s *ServerStats) Each(f func(name string, v expvar.Var)) {
	f("orders_carried", &s.Carried)
	f("orders_refused", &s.Refused)
	f("outcomes_dropped", &s.Dropped)
}

// Server carries out the orders of whoever leads. Safe for concurrent use.
type Server struct {
	direct runner.Runner
	log    zerolog.Logger
	stats  ServerStats
	texts  *texts

	mu     sync.Mutex
	epochs map[int]uint64 // the highest seen of each part
	conns  map[net.Conn]bool
}

// NewServer returns a relay that calls workers through direct.
func NewServer(direct runner.Runner, peers Caller, log zerolog.Logger) *Server {
	return &Server{direct: direct, log: log, texts: newTexts(peers), conns: map[net.Conn]bool{}, epochs: map[int]uint64{}}
}

// Stats returns the live counters.
func (s *Server) Stats() *ServerStats { return &s.stats }

// Register serves the method by which relays ask for specs.
func (s *Server) Register(r peer.Registrar) { s.texts.register(r) }

// Keep remembers the spec of a job that this daemon has accepted, for the daemons
// that start its tasks.
func (s *Server) Keep(id work.JobID, spec string) { s.texts.keep(id, spec) }

// Text returns the spec of a job that this daemon knows, or that its home tells. The
// error says that neither does, or that ctx ended first.
func (s *Server) Text(ctx context.Context, id work.JobID, home string) (string, error) {
	return s.texts.get(ctx, id, home)
}

// Serve takes the connections of leaders until ctx ends.
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

// ServeConn takes the orders of one connection until it ends.
func (s *Server) ServeConn(conn net.Conn) {
	s.note(conn, true)
	defer s.note(conn, false)
	defer func() { _ = conn.Close() }() // it has ended, or is given up
	c := &leaderConn{s: s, conn: conn}
	c.out = &outbox[outcome]{linger: outcomesLinger, send: func(_ context.Context, batch []outcome) { c.tell(told{Outcomes: batch}) }}
	r := bufio.NewReaderSize(conn, readBuffer)
	for {
		var m orders
		if err := peer.ReadFrame(r, &m); err != nil {
			if !errors.Is(err, io.EOF) {
				s.log.Debug().Err(err).Str("leader", conn.RemoteAddr().String()).Msg("connection of a leader ended")
			}
			return
		}
		c.take(&m)
	}
}

func (s *Server) note(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = true
		return
	}
	delete(s.conns, conn)
}

// current raises a part's epoch, and reports whether orders of that epoch stand.
func (s *Server) current(part int, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epochs[part] = max(s.epochs[part], epoch)
	return epoch == s.epochs[part]
}

func (s *Server) highest(part int) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epochs[part]
}

// leaderConn is one connection of a leader.
type leaderConn struct {
	s    *Server
	conn net.Conn
	out  *outbox[outcome]
	part atomic.Int64 // of the leader

	write sync.Mutex
}

// take answers a frame of orders at once, with the outcomes that wait, and carries
// the orders out.
func (c *leaderConn) take(m *orders) {
	c.part.Store(int64(m.Part))
	if !c.s.current(m.Part, m.Epoch) {
		c.s.stats.Refused.Add(int64(len(m.Orders)))
		c.tell(told{Taken: m.Number})
		return
	}
	for _, t := range m.Texts {
		c.s.texts.keep(t.Job, t.Spec)
	}
	c.tell(told{Taken: m.Number, Outcomes: c.out.take(false)})
	for i := range m.Orders {
		go func() { c.out.put(context.Background(), c.s.carryOut(m.Epoch, &m.Orders[i])) }()
	}
}

// tell writes a frame. A connection that can not be written is closed: the leader
// gives the orders up by their time.
func (c *leaderConn) tell(t told) {
	t.Epoch = c.s.highest(int(c.part.Load()))
	t.tellLives()
	frame, err := peer.EncodeFrame(t)
	if err == nil {
		c.write.Lock()
		defer c.write.Unlock()
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write does
		_, err = c.conn.Write(frame)
	}
	if err != nil {
		c.s.stats.Dropped.Add(int64(len(t.Outcomes)))
		c.s.log.Debug().Err(err).Int("outcomes", len(t.Outcomes)).Msg("outcomes of orders not brought to the leader")
		_ = c.conn.Close()
	}
}

// carryOut makes one call. Its time runs on although the leader may have given the
// order up: it is repeatable, and the worker refuses one that is overtaken.
func (s *Server) carryOut(epoch uint64, o *order) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(o.Budget)*time.Millisecond)
	defer cancel()
	s.stats.Carried.Add(1)
	result := outcome{Seq: o.Seq}
	err := s.call(ctx, epoch, o, &result)
	if result.Code = codeOf(err); result.Code != codeDone && result.Code != codeNoText {
		result.Problem = err.Error()
		result.Problem = result.Problem[:min(len(result.Problem), maxProblem)]
	}
	return result
}

// call calls the order's worker and puts its answer into the outcome.
func (s *Server) call(ctx context.Context, epoch uint64, o *order, result *outcome) error {
	to, until := runner.Ref{ID: o.Worker, Address: o.Address}, time.Duration(o.Until)*time.Millisecond
	switch o.What {
	case doStart:
		spec, err := s.textInTime(ctx, o)
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
		var other *runner.OtherLife
		if errors.As(err, &other) {
			result.life, report = other.ID, other.Report
		}
		result.setReport(report)
		return err
	}
	return runner.ErrBadOrder
}

// textInTime returns the spec of a start's job, or the error that the leader is told.
func (s *Server) textInTime(ctx context.Context, o *order) (string, error) {
	limit := time.Duration(textShare * float64(o.Budget) * float64(time.Millisecond))
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	spec, err := s.Text(bounded, o.Task.Job, o.Home)
	if err != nil && bounded.Err() != nil {
		err = errTextLate
	}
	return spec, err
}
