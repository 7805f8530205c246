package keys

import (
	"context"
	"time"

	"github.com/rs/zerolog"
)

// ReloadPeriod is how often the files are checked; a change takes effect within
// about twice this time.
const ReloadPeriod = 5 * time.Second

// Reload reads the files again and reports whether they changed. On an error, which is
// a *FileError, the files loaded earlier stay in use.
func (k *Keys) Reload() (changed bool, err error) {
	if k.files == (Files{}) {
		return false, nil // ephemeral keys have no files
	}
	m, err := read(k.files)
	if err != nil {
		return false, err
	}
	if m.digests == k.current.Load().digests {
		return false, nil
	}
	k.current.Store(m)
	return true, nil
}

// Reloader watches the files of Keys; run it under the supervisor.
type Reloader struct {
	Keys *Keys
	Log  zerolog.Logger
}

// Serve reloads the files when they change, until the context ends. A partially
// replaced set of files cannot be loaded and is retried.
func (r *Reloader) Serve(ctx context.Context) error {
	ticker := time.NewTicker(ReloadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.once()
		}
	}
}

func (r *Reloader) once() {
	changed, err := r.Keys.Reload()
	switch {
	case err != nil:
		r.Log.Error().Err(err).Time("in_use_until", r.Keys.NotAfter()).Msg("reload of key files failed; earlier ones stay in use")
	case changed:
		r.Log.Info().Time("not_after", r.Keys.NotAfter()).Msg("key files reloaded")
	}
}
