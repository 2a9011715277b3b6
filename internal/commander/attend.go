package commander

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"dotterelpost.example/dotterelpost/internal/cellserver"
	"dotterelpost.example/dotterelpost/internal/logwriter"
	"dotterelpost.example/dotterelpost/platform"
)

type attendCommand struct {
	unused
	Settings string `long:"settings" description:"settings file that the platform wrote; by default the one that its environment variable names"`
	LogLevel string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"lowest level that is logged"`
}

// run serves on the users' platform until SIGTERM or SIGINT. SIGHUP has the settings read again, to
// tell whether they are sound; what they set holds from the next start.
func (c *attendCommand) run(s *session) error {
	file := c.Settings
	if file == "" {
		file = os.Getenv(platform.SettingsFileVariable)
	}
	if file == "" {
		return &InputError{Reason: "no settings file", Remedy: "give --settings or set " + platform.SettingsFileVariable}
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		return &InputError{Reason: err.Error(), Remedy: "see --help"}
	}
	settings, err := platform.ReadSettings(file)
	if err != nil {
		return &InputError{Reason: err.Error(), Remedy: "see docs/OPERATIONS.md"}
	}
	out, stopLog := logwriter.New(s.out, clock)
	defer stopLog()
	log := newLogger(out, level)
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	instance, err := cellserver.Start(settings, clock, log)
	if err != nil {
		return err
	}
	for {
		select {
		case <-hangUps:
			_, err := platform.ReadSettings(file)
			log.Info("settings read again", "file", file, "error", err)
		case <-s.ctx.Done():
			instance.Shutdown()
			return nil
		}
	}
}
