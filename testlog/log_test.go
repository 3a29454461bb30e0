package testlog_test

import (
	"testing"

	"github.com/sirupsen/logrus"

	"junctioncross/testlog"
)

// TestLinesThatComeAfterATestAreDropped writes after the end of a test, which would panic on the test's own output.
func TestLinesThatComeAfterATestAreDropped(t *testing.T) {
	var log *logrus.Logger
	t.Run("over", func(t *testing.T) { log = testlog.New(t) })
	log.Info("too late")
}
