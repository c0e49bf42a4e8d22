package main

import (
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/platform"
)

const (
	// settingsWait is how long a starting node waits for a settings file that may be being written.
	settingsWait         = 2 * time.Second
	settingsPollInterval = 20 * time.Millisecond
)

// errStopped is returned when a signal stops the process before it has its settings.
var errStopped = errors.New("the process was stopped before its settings could be read")

// awaitSettings loads the settings. For settingsWait it loads them again while the file may be incomplete. It returns errStopped when a
// signal stops the process meanwhile.
func awaitSettings(path string, signals <-chan os.Signal, logger log.Interface) (platform.Settings, error) {
	settings, err := platform.LoadSettings(path)
	if mayBeIncomplete(err) {
		logger.WithError(err).WithField("wait_ms", settingsWait.Milliseconds()).Warn(lineAwaitingSettings)
	}
	for deadline := time.Now().Add(settingsWait); mayBeIncomplete(err) && time.Now().Before(deadline); settings, err = platform.LoadSettings(path) {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				return platform.Settings{}, errStopped
			}
		case <-time.After(settingsPollInterval):
		}
	}
	return settings, err
}

// lineAwaitingSettings is logged by a node that starts beside a settings file that cannot be read yet.
const lineAwaitingSettings = "cannot read the settings file; it may be being written, trying again for a time"

// mayBeIncomplete reports whether a settings file may be incomplete because it is being written.
func mayBeIncomplete(err error) bool {
	var invalid *platform.SettingsError
	return errors.As(err, &invalid) && invalid.MayBeIncomplete
}
