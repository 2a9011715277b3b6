package configprovider_test

import (
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/configprovider"
)

func TestConfirmation(t *testing.T) {
	provider := &configprovider.Provider{}
	provider.Confirm(time.Second)
	if configuration, _, confirmed := provider.Confirmed(); configuration != nil || confirmed {
		t.Error("a provider without a configuration is confirmed")
	}
	provider.Apply(&configprovider.Configuration{Version: 5})
	if _, _, confirmed := provider.Confirmed(); confirmed {
		t.Error("a configuration is confirmed by being applied")
	}
	provider.Confirm(3 * time.Second)
	// The answer to a call that was sent earlier may arrive later.
	provider.Confirm(2 * time.Second)
	provider.Apply(&configprovider.Configuration{Version: 7})
	provider.Apply(&configprovider.Configuration{Version: 6})
	configuration, at, confirmed := provider.Confirmed()
	if configuration.Version != 7 || !confirmed || at != 3*time.Second {
		t.Errorf("version %d, confirmed %t at %s, want 7 at 3s", configuration.Version, confirmed, at)
	}
}

func TestTeamOf(t *testing.T) {
	key, stranger := authenticator.DigestOf("key"), authenticator.DigestOf("stranger")
	provider := &configprovider.Provider{}
	provider.Apply(&configprovider.Configuration{Version: 1, Teams: []configprovider.Team{{Name: "a", Keys: []authenticator.Digest{key}}, {Name: "b"}}})
	for digest, want := range map[authenticator.Digest]string{key: "a", stranger: ""} {
		if team, known := provider.Current().TeamOf(digest); team != want || known != (want != "") {
			t.Errorf("got team %q, %t, want %q", team, known, want)
		}
	}
	provider.Apply(&configprovider.Configuration{Version: 2})
	if _, known := provider.Current().TeamOf(key); known || provider.Current().HasTeams() {
		t.Error("a configuration without teams knows a key")
	}
}
