package spec

// VersionedJob is a job together with the configuration version that last
// changed it.
type VersionedJob struct {
	Job
	// Generation is the version in which the job's content last changed.
	Generation uint64 `json:"generation"`
	// File is the name of the file that declares the job.
	File string `json:"file"`
}

// Config is the whole configuration of a cell at one version: the teams and jobs of
// every file in force. It is immutable once published; readers share it.
type Config struct {
	// Version rises by one with each apply; 0 is the empty configuration.
	Version uint64                   `json:"version"`
	Teams   map[string]*Team         `json:"teams"`
	Jobs    map[string]*VersionedJob `json:"jobs"`
}

// Source publishes the configuration in force on this daemon. Versions only
// rise.
type Source interface {
	// Current returns the configuration in force; never nil.
	Current() *Config
	// Changed returns a channel that is closed when a later version comes into force
	// than the one that Current returned before the call to Changed.
	Changed() <-chan struct{}
}
