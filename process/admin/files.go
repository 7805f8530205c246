package admin

import (
	"fmt"
	"io"
	"strconv"

	"fennelshunt.example/fennelshunt/process/admin/api"
	"fennelshunt.example/fennelshunt/process/versions"
	"fennelshunt.example/fennelshunt/version/history"
	"fennelshunt.example/fennelshunt/version/spec"
)

// by returns the author for the history.
func (c *call) by() history.By { return history.By{Author: c.principal.Name, Team: c.principal.Team} }

// readFile parses the file in the body.
func (c *call) readFile() (*spec.File, error) {
	data, err := io.ReadAll(c.http.Body)
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return spec.Parse(c.http.URL.Query().Get(api.ParamName), data)
}

// uintParam returns a whole number from the query parameters.
func (c *call) uintParam(param string, otherwise uint64) (uint64, error) {
	text := c.http.URL.Query().Get(param)
	if text == "" {
		return otherwise, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalid(fmt.Sprintf("parameter %s: %q is no whole number", param, text))
	}
	return n, nil
}

// checkedFile reads the file of the call and checks it against the latest
// configuration, which it returns too.
func (s *Server) checkedFile(c *call) (*spec.File, *history.Snapshot, error) {
	file, err := c.readFile()
	if err != nil {
		return nil, nil, err
	}
	latest, err := s.options.Applier.Latest(c.ctx())
	if err != nil {
		return nil, nil, err
	}
	if err := s.options.Applier.Check(c.ctx(), file, latest.Version, c.by()); err != nil {
		return nil, nil, err
	}
	return file, latest, nil
}

// validate checks a file against the current configuration.
func (s *Server) validate(c *call) (any, error) {
	file, _, err := s.checkedFile(c)
	if err != nil {
		return nil, err
	}
	return api.Validated{File: file.Name, Jobs: len(file.Jobs)}, nil
}

// diff returns what applying a file would change.
func (s *Server) diff(c *call) (any, error) {
	file, latest, err := s.checkedFile(c)
	if err != nil {
		return nil, err
	}
	var before *spec.File
	if d, ok := latest.Document(file.Name); ok && d.Applied != nil {
		before = d.Applied.File
	}
	return api.Diffed{File: file.Name, Base: latest.Version, Differences: spec.Diff(before, file)}, nil
}

// apply applies a file and, unless the caller declines, waits until the daemons have it
// in force.
func (s *Server) apply(c *call) (any, error) {
	file, err := c.readFile()
	if err != nil {
		return nil, err
	}
	if !c.http.URL.Query().Has(api.ParamBase) {
		return nil, invalid("parameter base is missing: the version that the change is based on; fix: take it from diff or status")
	}
	base, err := c.uintParam(api.ParamBase, 0)
	if err != nil {
		return nil, err
	}
	applied, err := s.options.Applier.Apply(c.ctx(), file, base, c.by())
	if err != nil {
		return nil, fmt.Errorf("apply %s: %w", file.Name, err)
	}
	c.log.Info().Str("file", file.Name).Uint64("base", base).Uint64("version", applied.Version).
		Bool("unchanged", applied.Unchanged).Msg("configuration file applied")
	if c.http.URL.Query().Get(api.ParamWait) != "false" {
		s.options.Applier.Await(c.ctx(), &applied)
	}
	return api.Applied{File: file.Name, Version: applied.Version, Unchanged: applied.Unchanged,
		Members: Members(applied.Members), Lagging: Members(applied.Lagging)}, nil
}

// Members converts the versions of the members to API messages.
func Members(members []versions.MemberVersion) []api.Member {
	out := make([]api.Member, 0, len(members))
	for _, m := range members {
		out = append(out, api.Member{ID: string(m.Member), Zone: m.Zone, State: string(m.State), Version: m.Version, Known: m.Known})
	}
	return out
}

// fileInfo returns the description of a file, without its content.
func fileInfo(c history.Change) api.File {
	return api.File{Name: c.File, Version: c.Version, Author: c.Author, Team: c.Team, Time: c.Applied()}
}

// files lists the files in force on this daemon.
func (s *Server) files(c *call) (any, error) {
	snapshot := s.options.Applier.InForce()
	answer := api.Files{Version: snapshot.Version, Files: []api.File{}}
	for _, change := range snapshot.Files() {
		if c.principal.canSee(change.Team) {
			answer.Files = append(answer.Files, fileInfo(change))
		}
	}
	return answer, nil
}

// file returns one file in force on this daemon. A file of another team is reported as
// not found.
func (s *Server) file(c *call) (any, error) {
	name := c.http.PathValue("file")
	d, ok := s.options.Applier.InForce().Document(name)
	if !ok || d.Applied == nil || !c.principal.canSee(d.Change.Team) {
		return nil, notFound(fmt.Sprintf("no file %q is in force", name))
	}
	answer := fileInfo(d.Change)
	answer.Content = d.Applied.File
	return answer, nil
}

// Limits of one page of the history.
const (
	defaultPage = 50
	maxPage     = 1000
)

// history lists changes, the latest first.
func (s *Server) history(c *call) (any, error) {
	before, err := c.uintParam(api.ParamBefore, 0)
	if err != nil {
		return nil, err
	}
	limit, err := c.uintParam(api.ParamLimit, defaultPage)
	if err != nil {
		return nil, err
	}
	changes, err := s.options.Applier.List(c.ctx(), before, int(min(max(limit, 1), maxPage)))
	if err != nil {
		return nil, err
	}
	answer := api.History{Changes: []api.Change{}}
	for _, change := range changes {
		if c.principal.canSee(change.Team) {
			answer.Changes = append(answer.Changes, api.Change{Version: change.Version, File: change.File,
				Removed: change.Removed(), Author: change.Author, Team: change.Team, Time: change.Applied()})
		}
		answer.Before = change.Version
	}
	if answer.Before == 1 {
		answer.Before = 0
	}
	return answer, nil
}
