package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"frosttide/internal/nodefile"
)

// settingsPollInterval is the interval at which the settings file is checked for changes that no
// SIGHUP announces.
const settingsPollInterval = time.Second

// WatchSettings starts a goroutine that reloads the settings file when it changes and on SIGHUP,
// until the context ends. apply is called on the event loop with the new settings. If the file
// cannot be read or is invalid, that is logged and the settings stay as they are.
func (p *Process) WatchSettings(ctx context.Context, apply func(*nodefile.File)) {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	p.watching.Go(func() {
		defer signal.Stop(sighups)
		poll := time.NewTicker(settingsPollInterval)
		defer poll.Stop()
		lastStamp := fileStamp{} // forces one reload, as the file may have changed since it was read
		for {
			select {
			case <-ctx.Done():
				return
			case <-sighups:
			case <-poll.C:
				if statFileStamp(p.SettingsPath) == lastStamp {
					continue
				}
			}
			lastStamp = statFileStamp(p.SettingsPath)
			p.reloadSettings(apply)
		}
	})
}

// fileStamp identifies a version of a file by its modification time and size.
type fileStamp struct {
	modifiedAt time.Time
	size       int64
}

// statFileStamp returns the stamp of a file, the zero value if stat fails.
func statFileStamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modifiedAt: info.ModTime(), size: info.Size()}
}

// reloadSettings reads the settings file and, if it is valid, posts an event that replaces Settings
// and calls apply.
func (p *Process) reloadSettings(apply func(*nodefile.File)) {
	settings, err := nodefile.Read(p.SettingsPath)
	if err != nil {
		klog.ErrorS(err, "The settings are left as they are")
		return
	}
	klog.InfoS("Settings read again", "seeds", settings.Seeds)
	p.Post(func() {
		p.Settings = settings
		apply(settings)
	})
}
