package edge

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestSettings runs the script in testdata. It guards against invalid or missing
// settings that are read as zero, and against errors that report only the first
// invalid key.
func TestSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, td *datadriven.TestData) string {
		path := filepath.Join(t.TempDir(), "settings.ini")
		if err := os.WriteFile(path, []byte(td.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := LoadSettings(path)
		if err != nil {
			return strings.ReplaceAll(err.Error(), path, "FILE") + "\n"
		}
		ratio, slack, window := s.Retries()
		coldFactor, coldSlack := s.ColdStart()
		return fmt.Sprintf("name=%s domain=%s regions=%v callers=%s readiness=%s metrics=%s peers=%s store=%s memory=%d\n"+
			"revocation=%s config=%s drain=%s grace=%s load=%g reuse=%s retries=%g,%g,%s cold=%g,%g\n",
			s.Name(), s.FailureDomain(), s.Regions(), s.CallersAddress(), s.ReadinessAddress(), s.MetricsAddress(), s.PeersAddress(), s.StoreAddress(), s.MemoryMB(),
			s.MaxRevocationDelay(), s.MaxConfigDelay(), s.MaxDrainDelay(), s.GracePeriod(), s.LoadFactor(), s.ReuseWindow(), ratio, slack, window, coldFactor, coldSlack)
	})
}
