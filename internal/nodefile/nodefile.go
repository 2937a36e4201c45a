// Package nodefile reads the settings file of a process of the cluster scheduler: who it is, where it
// listens, whom it asks first and the bounds it has to keep. Keys that are not known are skipped.
package nodefile

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// PathVariable is the environment variable that holds the file's path.
const PathVariable = "FROSTTIDE_NODE_FILE"

// ErrSettings marks every error of a settings file; its text names the file, the key and the reason.
var ErrSettings = errors.New("settings")

// File is a settings file.
type File struct {
	NodeName        string
	Role            string
	MachineClass    string
	IP              string `toml:"Ip"`
	Zone            string
	PortRange       []int
	Seeds           []string // operators' addresses of up to three core machines
	Bootstrap       bool     // the whole system starts for the first time
	CountsForQuorum bool
	DataDir         string
	HeartbeatMs     int64
	Service         string
	App             string `toml:"app"` // where the runner of a side machine listens
	ListenAddrs     struct {
		Front     string
		Readiness string
		Control   string
	}
	Limits struct {
		MemoryMB int64 `toml:"MemoryMb"`
		MaxFds   int64
	}
	FaultTolerance struct {
		Machines int
		Zones    int
		Regions  int
	}
	Bounds Bounds
}

// Bounds are the figures of the rules. Times are in the unit that the name says.
type Bounds struct {
	ContactMs     float64
	AckMs         float64
	CatchUpS      float64
	DrainMs       float64
	GraceS        float64
	ConfigApplyMs float64
	RecoveryS     float64
	HoldMaxMs     float64
	GangMs        float64 `toml:"gang_ms"`
	StopMs        float64 `toml:"stop_ms"`
	StatusS       float64 `toml:"status_s"`
	FarX          float64 `toml:"far_x"`
	SaveS         float64 `toml:"save_s"`
	RestoreMs     float64 `toml:"restore_ms"`
}

// Bounds that are used where the file says none; they are those of the rules' own examples.
const (
	defaultGraceS    = 6
	defaultHoldMaxMs = 6000
	defaultRecoveryS = 12
	defaultStatusS   = 120
	defaultSaveS     = 2
	defaultFarX      = 1.5
)

// Path returns the file's path by the environment.
func Path() (string, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return "", settingsErrorf("%s is not set: it names the settings file", PathVariable)
	}
	return path, nil
}

// Read reads and checks a file.
func Read(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, settingsErrorf("%s: it can't be read: %v", path, err)
	}
	f := &File{}
	if err := toml.Unmarshal(data, f); err != nil {
		return nil, settingsErrorf("%s: %s", path, describeDecodeError(err))
	}
	f.applyDefaults()
	if err := f.validate(path); err != nil {
		return nil, err
	}
	return f, nil
}

// describeDecodeError returns the key and the reason of a mistake.
func describeDecodeError(err error) string {
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		key := ""
		for i, part := range decode.Key() {
			if i > 0 {
				key += "."
			}
			key += part
		}
		return "line " + strconv.Itoa(row) + ": " + key + ": " + decode.Error()
	}
	return err.Error()
}

func settingsErrorf(format string, args ...any) error {
	return errors.Mark(errors.Newf("settings: "+format, args...), ErrSettings)
}

// applyDefaults fills in the bounds that the file leaves out.
func (f *File) applyDefaults() {
	for _, d := range []struct {
		value *float64
		usual float64
	}{
		{&f.Bounds.GraceS, defaultGraceS}, {&f.Bounds.HoldMaxMs, defaultHoldMaxMs}, {&f.Bounds.RecoveryS, defaultRecoveryS},
		{&f.Bounds.StatusS, defaultStatusS}, {&f.Bounds.SaveS, defaultSaveS}, {&f.Bounds.FarX, defaultFarX},
	} {
		if *d.value <= 0 {
			*d.value = d.usual
		}
	}
}

// validate tells what a process can't start without.
func (f *File) validate(path string) error {
	if net.ParseIP(f.IP) == nil {
		return settingsErrorf("%s: Ip: %q is no address", path, f.IP)
	}
	if len(f.PortRange) != 2 || f.PortRange[0] < 1 || f.PortRange[1] < f.PortRange[0] || f.PortRange[1] > 65535 {
		return settingsErrorf("%s: PortRange: %v is no range of ports", path, f.PortRange)
	}
	for _, a := range []struct{ key, value string }{{"ListenAddrs.Front", f.ListenAddrs.Front}, {"ListenAddrs.Readiness", f.ListenAddrs.Readiness}, {"ListenAddrs.Control", f.ListenAddrs.Control}} {
		if a.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return settingsErrorf("%s: %s: %q is no address with a port", path, a.key, a.value)
		}
	}
	for _, seed := range f.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return settingsErrorf("%s: Seeds: %q is no address with a port", path, seed)
		}
	}
	if f.FaultTolerance.Machines < 0 {
		return settingsErrorf("%s: FaultTolerance.Machines: %d is below 0", path, f.FaultTolerance.Machines)
	}
	return nil
}

// MissingKey returns an error that says that a role needs a key that the file leaves out.
func MissingKey(path, key string) error { return settingsErrorf("%s: %s: it is missing", path, key) }

// InternalAddress returns where the process of a number on a machine listens for others of the system.
func (f *File) InternalAddress(ip string, number int) string {
	return net.JoinHostPort(ip, strconv.Itoa(f.PortRange[0]+number))
}

// Contacts returns the internal addresses of the seeds.
func (f *File) Contacts() (out []string) {
	for _, seed := range f.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, f.InternalAddress(host, 0))
		}
	}
	return out
}

// Seconds and Milliseconds turn a bound into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Milliseconds turns a bound in milliseconds into a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
