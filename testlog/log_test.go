package testlog_test

import (
	"testing"

	"github.com/sirupsen/logrus"

	"junctioncross/testlog"
)

// TestLinesThatComeAfterATestAreDropped writes once the test is over; the output itself would end the whole run.
func TestLinesThatComeAfterATestAreDropped(t *testing.T) {
	var log *logrus.Logger
	t.Run("over", func(t *testing.T) { log = testlog.New(t) })
	log.Info("too late")
}
