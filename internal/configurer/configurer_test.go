package configurer_test

import (
	"os"
	"testing"

	"dotterelpost.example/dotterelpost/internal/configurer"
)

func readExample(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestExamplesHaveNoFaults(t *testing.T) {
	settings, faults := configurer.ReadInstance("../../examples/instance/north-1.json")
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if _, faults := configurer.ReadSecrets(settings, "../../examples/instance/north-1.json"); len(faults) > 0 {
		t.Error(faults)
	}
	platform, faults := configurer.ParsePlatform("platform", readExample(t, "cell/platform.json"))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if count := len(platform.WorkersAt(platform.Listen)); count != 100 {
		t.Errorf("the shared cell has %d workers, want 100 (50 of each user)", count)
	}
}

// FuzzParseInstance checks that no input makes the parser panic or pass settings without a platform.
func FuzzParseInstance(f *testing.F) {
	f.Add(readExample(f, "instance/north-1.json"))
	f.Add([]byte(`{"name": 1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, faults := configurer.ParseInstance("fuzz", text)
		if len(faults) == 0 && settings.Platform.Port() == 0 {
			t.Fatal("settings without a platform were accepted")
		}
	})
}

// FuzzParsePlatform checks that no input makes the parser panic or pass settings without racks.
func FuzzParsePlatform(f *testing.F) {
	f.Add(readExample(f, "cell/platform.json"))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, faults := configurer.ParsePlatform("fuzz", text)
		if len(faults) == 0 && len(settings.Racks) == 0 {
			t.Fatal("a platform without racks was accepted")
		}
	})
}
