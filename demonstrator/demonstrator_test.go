package demonstrator_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/demonstrator"
)

// testTimeout limits the whole test.
const testTimeout = time.Minute

func TestCheckPassesOnRunningSystem(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	system, err := demonstrator.New(ctx, demonstrator.Options{
		Callers:     netip.MustParseAddrPort("127.0.0.1:0"),
		MeanService: 10 * time.Millisecond,
		Log:         slog.New(slog.NewTextHandler(t.Output(), nil)),
	})
	is.NoErr(err)
	var out bytes.Buffer
	err = system.Check(ctx, &out)
	t.Log(out.String())
	is.NoErr(err)
	is.True(strings.Contains(out.String(), "100 of 100 tasks of the job started once"))
	is.True(!strings.Contains(out.String(), "FAIL"))
	is.NoErr(system.Close(ctx))
}
