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
	executeStub
	Settings string `long:"settings" description:"settings file written by the platform; defaults to the file named by the platform's environment variable"`
	LogLevel string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"minimum level of logged messages"`
}

// run serves on the external platform of package platform until SIGTERM or SIGINT. On SIGHUP it reads
// the settings file again and logs whether it is valid; changed settings take effect at the next start.
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
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	instance, err := cellserver.Start(settings, clock, log)
	if err != nil {
		return err
	}
	for {
		select {
		case <-reloadSignals:
			_, err := platform.ReadSettings(file)
			log.Info("settings file checked after SIGHUP", "file", file, "error", err)
		case <-s.ctx.Done():
			instance.Shutdown()
			return nil
		}
	}
}
