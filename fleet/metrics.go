package fleet

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Metric returns the value of one metric of an instance; health is the address of its health listener.
func Metric(health, name string) (int64, error) {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+health+"/metrics", callTimeout)
	if err != nil {
		return 0, errors.Wrap(err, "fleet: metrics")
	}
	for _, line := range strings.Split(string(body), "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strconv.ParseInt(value, 10, 64)
		}
	}
	return 0, errors.Errorf("fleet: no metric %s", name)
}
