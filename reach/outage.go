package reach

import "time"

// askPeriod is how often other instances are asked for a server of a failure domain that nobody reaches.
const askPeriod = time.Second

// outage tells when no instance reaches the servers of a failure domain, as when the domain is cut off. Other instances are then asked
// for one server a period and not for each of them at each connection. It is not safe for concurrent use.
type outage struct {
	// failed is when no other instance reached a server, by address.
	failed map[string]time.Time
	// nextAsk is when other instances may be asked again; zero while there is no outage.
	nextAsk time.Time
}

// mayAsk reports whether other instances are to be asked for a server of the domain now. During an outage that is so once a period.
func (o *outage) mayAsk(now time.Time) bool {
	if o.nextAsk.IsZero() {
		return true
	}
	if now.Before(o.nextAsk) {
		return false
	}
	o.nextAsk = now.Add(askPeriod)
	return true
}

// noteFailed records that no other instance reached a server of the domain; several such servers are an outage.
func (o *outage) noteFailed(addr string, now time.Time) {
	if o.failed == nil {
		o.failed = map[string]time.Time{}
	}
	o.failed[addr] = now
	for other, at := range o.failed {
		if now.Sub(at) > window {
			delete(o.failed, other)
		}
	}
	if len(o.failed) >= minServers && o.nextAsk.IsZero() {
		o.nextAsk = now.Add(askPeriod)
	}
}

// noteReached records that a server of the domain was reached, on any way.
func (o *outage) noteReached() {
	clear(o.failed)
	o.nextAsk = time.Time{}
}
