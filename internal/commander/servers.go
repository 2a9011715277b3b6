package commander

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/configurer"
	"dotterelpost.example/dotterelpost/internal/partitionserver"
	"dotterelpost.example/dotterelpost/internal/simulator"
	"dotterelpost.example/dotterelpost/platform"
)

// shutdownTimeout bounds a graceful shutdown. Requests that are still open after it are aborted, and a
// peer takes the partitions over once the lease expires.
const shutdownTimeout = 60 * time.Second

type settingsCommand struct {
	Check settingsCheckCommand `command:"check" description:"check a settings file and the token files that it names"`
}

type settingsCheckCommand struct {
	executeStub
	Kind string       `long:"kind" choice:"instance" choice:"stand-in" choice:"attend" choice:"plan" default:"instance" description:"kind of the settings file"`
	JSON bool         `long:"json" description:"write JSON"`
	Args fileArgument `positional-args:"yes"`
}

func (c *settingsCheckCommand) run(s *session) error {
	if err := c.check(); err != nil {
		return err
	}
	return writeResult(s, c.JSON, CheckResult{File: c.Args.File, Checked: c.Kind}, "%s: no faults\n", c.Args.File)
}

// check reads the file in the same way as the command that uses it.
func (c *settingsCheckCommand) check() error {
	switch c.Kind {
	case "stand-in":
		if _, faults := configurer.ReadPlatform(c.Args.File); len(faults) > 0 {
			return faults
		}
	case "attend":
		if _, err := platform.ReadSettings(c.Args.File); err != nil {
			return &InputError{Reason: err.Error(), Remedy: "see docs/OPERATIONS.md"}
		}
	case "plan":
		_, err := readPlan(c.Args.File)
		return err
	default:
		_, _, err := readInstance(c.Args.File)
		return err
	}
	return nil
}

func readInstance(file string) (configurer.Instance, configurer.Secrets, error) {
	settings, faults := configurer.ReadInstance(file)
	if len(faults) > 0 {
		return settings, configurer.Secrets{}, faults
	}
	secrets, faults := configurer.ReadSecrets(settings, file)
	if len(faults) > 0 {
		return settings, secrets, faults
	}
	return settings, secrets, nil
}

type serveCommand struct {
	executeStub
	Settings string `long:"settings" required:"true" description:"settings file of the entry instance"`
}

// run serves until SIGTERM or SIGINT, then shuts down gracefully.
func (c *serveCommand) run(s *session) error {
	settings, secrets, err := readInstance(c.Settings)
	if err != nil {
		return err
	}
	instance, err := partitionserver.Start(partitionserver.Options{
		Settings: settings,
		Secrets:  secrets,
		Clock:    clock,
		Log:      newLogger(s.stderr, settings.LogLevel),
	})
	if err != nil {
		return err
	}
	<-s.ctx.Done()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return instance.Shutdown(ctx)
}

type standInCommand struct {
	executeStub
	Settings string `long:"settings" required:"true" description:"settings file of the simulated platform"`
}

func (c *standInCommand) run(s *session) error {
	settings, faults := configurer.ReadPlatform(c.Settings)
	if len(faults) > 0 {
		return faults
	}
	log := newLogger(s.stderr, 0)
	listener, err := net.Listen("tcp", settings.Listen.String())
	if err != nil {
		return &InputError{Reason: err.Error(), Remedy: "choose another address for $.listen, or port 0"}
	}
	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return errors.Wrap(err, "parse bound address")
	}
	platform := simulator.New(simulator.Settings{
		WritesPerSecond: settings.WritesPerSecond,
		ReadsPerSecond:  settings.ReadsPerSecond,
		ListLag:         settings.ListLag,
		FenceMode:       simulator.FenceMode(settings.FenceMode),
		Workers:         settings.WorkersAt(bound),
	}, clock)
	server := &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: time.Second}
	log.Info("listening", "platform", bound, "workers", len(settings.WorkersAt(bound)))
	go func() {
		<-s.ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the platform")
	}
	return nil
}
