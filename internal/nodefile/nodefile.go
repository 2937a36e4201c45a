package nodefile

import (
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// maxPort is the highest TCP port number.
const maxPort = 65535

// PathVariable is the name of the environment variable that holds the path of the settings file.
const PathVariable = "FROSTTIDE_NODE_FILE"

// ErrSettings marks every error of this package, for errors.Is. The text of a marked error is one
// line for operators that names the file, the key and the reason.
var ErrSettings = errors.New("settings")

// File holds the content of a settings file. Its fields have the names of the file's keys unless a
// tag says otherwise. Fields that no program uses exist so that the types of their keys are
// checked.
type File struct {
	NodeName        string
	Role            string
	MachineClass    string
	IP              string   `toml:"Ip"` // of the machine
	Zone            string   // failure domain of the machine
	PortRange       []int    // first and last port for internal addresses
	Seeds           []string // operators' addresses of up to three core machines, host:port
	Bootstrap       bool     // first start of the system, whose initial members are the seeds
	CountsForQuorum bool
	DataDir         string // directory of a control member's journal
	HeartbeatMs     int64
	Service         string
	App             string `toml:"app"` // address of the runner on a side machine, host:port
	ListenAddrs     struct {
		Front     string // for clients
		Readiness string // for the platform's health checks
		Control   string // for operators or, on a side machine, for its runner
	}
	Limits struct {
		MemoryMB int64 `toml:"MemoryMb"`
		MaxFds   int64
	}
	FaultTolerance struct {
		Machines int // number of machines whose simultaneous loss is tolerated
		Zones    int
		Regions  int
	}
	Bounds Bounds
}

// Bounds are the time limits and other figures that the processes must keep. The suffix of a name
// is its unit: Ms for milliseconds, S for seconds, X for a factor.
type Bounds struct {
	ContactMs     float64
	AckMs         float64
	CatchUpS      float64
	DrainMs       float64
	GraceS        float64 // time from the termination signal until the process is killed
	ConfigApplyMs float64
	RecoveryS     float64 // agents' lease: how long work survives the loss of all core machines
	HoldMaxMs     float64 // longest lease that an agent grants its runner
	GangMs        float64 `toml:"gang_ms"`
	StopMs        float64 `toml:"stop_ms"`
	StatusS       float64 `toml:"status_s"` // how long the state of an ended job can be read
	FarX          float64 `toml:"far_x"`    // factor by which work takes longer away from its data
	SaveS         float64 `toml:"save_s"`
	RestoreMs     float64 `toml:"restore_ms"`
}

// Defaults of the bounds that are missing from the file or not above 0.
const (
	defaultGraceS    = 6
	defaultHoldMaxMs = 6000
	defaultRecoveryS = 12
	defaultStatusS   = 120
	defaultSaveS     = 2
	defaultFarX      = 1.5
)

// Path returns the path of the settings file from the environment variable PathVariable. It fails,
// with an error marked with ErrSettings, if the variable is unset or empty.
func Path() (string, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return "", settingsErrorf("%s is not set: it names the settings file", PathVariable)
	}
	return path, nil
}

// Read reads a settings file, fills in the defaults and validates it. Its errors are marked with
// ErrSettings.
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

// describeDecodeError formats a TOML decoding error as one line with the line number, the key and
// the reason.
func describeDecodeError(err error) string {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return err.Error()
	}
	row, _ := decode.Position()
	return "line " + strconv.Itoa(row) + ": " + strings.Join(decode.Key(), ".") + ": " + decode.Error()
}

// settingsErrorf formats an error with the prefix "settings: " and marks it with ErrSettings.
func settingsErrorf(format string, args ...any) error {
	return errors.Mark(errors.Newf("settings: "+format, args...), ErrSettings)
}

// applyDefaults sets the bounds that are missing or not above 0 to their defaults.
func (f *File) applyDefaults() {
	for _, bound := range []struct {
		value        *float64
		defaultValue float64
	}{
		{&f.Bounds.GraceS, defaultGraceS},
		{&f.Bounds.HoldMaxMs, defaultHoldMaxMs},
		{&f.Bounds.RecoveryS, defaultRecoveryS},
		{&f.Bounds.StatusS, defaultStatusS},
		{&f.Bounds.SaveS, defaultSaveS},
		{&f.Bounds.FarX, defaultFarX},
	} {
		if *bound.value <= 0 {
			*bound.value = bound.defaultValue
		}
	}
}

// validate returns an error for the first invalid setting among those that every role needs, nil if
// there is none.
func (f *File) validate(path string) error {
	if net.ParseIP(f.IP) == nil {
		return settingsErrorf("%s: Ip: %q is no address", path, f.IP)
	}
	if len(f.PortRange) != 2 || f.PortRange[0] < 1 || f.PortRange[1] < f.PortRange[0] || f.PortRange[1] > maxPort {
		return settingsErrorf("%s: PortRange: %v is no range of ports", path, f.PortRange)
	}
	for _, address := range []struct{ key, value string }{
		{"ListenAddrs.Front", f.ListenAddrs.Front},
		{"ListenAddrs.Readiness", f.ListenAddrs.Readiness},
		{"ListenAddrs.Control", f.ListenAddrs.Control},
	} {
		if address.value == "" {
			continue
		}
		if err := validateAddress(path, address.key, address.value); err != nil {
			return err
		}
	}
	for _, seed := range f.Seeds {
		if err := validateAddress(path, "Seeds", seed); err != nil {
			return err
		}
	}
	if f.FaultTolerance.Machines < 0 {
		return settingsErrorf("%s: FaultTolerance.Machines: %d is below 0", path, f.FaultTolerance.Machines)
	}
	return nil
}

// validateAddress returns an error unless the value of a key has the form host:port.
func validateAddress(path, key, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return settingsErrorf("%s: %s: %q is no address with a port", path, key, value)
	}
	return nil
}

// MissingKey returns the error, marked with ErrSettings, for a file that lacks a key that a role
// requires.
func MissingKey(path, key string) error { return settingsErrorf("%s: %s: it is missing", path, key) }

// InternalAddress returns the internal address, host:port, of a process on the machine with an IP
// address. Processes are numbered from 0 in the order of the ports of PortRange.
func (f *File) InternalAddress(ip string, number int) string {
	return net.JoinHostPort(ip, strconv.Itoa(f.PortRange[0]+number))
}

// Contacts returns the internal addresses, host:port, of the first process on each seed machine.
func (f *File) Contacts() (addresses []string) {
	for _, seed := range f.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, f.InternalAddress(host, 0))
		}
	}
	return addresses
}

// Seconds converts a bound in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Milliseconds converts a bound in milliseconds to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
