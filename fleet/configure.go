package fleet

import (
	"encoding/json"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/intent"
	"junctioncross/revision"
	"junctioncross/view"
)

const (
	startTimeout = 40 * time.Second
	retryDelay   = 50 * time.Millisecond
	callTimeout  = 2 * time.Second
)

// change is one entry of an intent file: a single key with its value.
type change map[string]any

// ShareChange returns the entry of an intent that sets a group's weight.
func ShareChange(group string, weight float64) map[string]any {
	return change{"share": change{"group": group, "weight": weight}}
}

// configure submits the fleet's configuration as an intent and confirms its plan.
func (f *Fleet) configure() error {
	changes := f.initialChanges()
	_, err := f.Apply("first configuration", changes...)
	return err
}

func (f *Fleet) initialChanges() []map[string]any {
	var out []map[string]any
	add := func(key string, value any) { out = append(out, change{key: value}) }
	for _, m := range f.spec.Models {
		add("model", m)
	}
	for _, k := range f.spec.Kinds {
		add("kind", k)
	}
	for _, g := range f.spec.Groups {
		add("group", g)
	}
	for _, a := range f.spec.Accounts {
		add("account", intent.Account{Name: a.Name, Group: a.Group, Weight: a.Weight, KeyHash: view.HashKey(a.Key)})
	}
	for _, e := range f.engines {
		add("add_backend", intent.Backend{
			Name: e.Name, Addr: e.advertised, Domain: e.Domain, Kind: e.Kind, ChecksFence: true, LinkMicros: e.linkMicros,
		})
	}
	for _, s := range f.spec.Services {
		add("service", intent.Service{Name: s.Name, Addrs: f.serviceAddrs(s.Name), Calls: s.Calls})
	}
	return out
}

func (f *Fleet) serviceAddrs(service string) []string {
	var out []string
	for _, s := range f.services {
		if s.Name == service {
			out = append(out, s.Addr)
		}
	}
	return out
}

// Apply submits an intent with the given changes to the first instance, has it planned and confirms the plan.
func (f *Fleet) Apply(why string, changes ...map[string]any) (revision.Entry, error) {
	plan, err := f.Propose(why, changes...)
	if err != nil {
		return revision.Entry{}, err
	}
	client, err := f.Operator(f.entries[0])
	if err != nil {
		return revision.Entry{}, err
	}
	return client.Confirm(plan.ID)
}

// Propose submits an intent to the first instance and returns its plan; nothing changes until the plan is confirmed.
func (f *Fleet) Propose(why string, changes ...map[string]any) (revision.Plan, error) {
	var noPlan revision.Plan
	body, err := yaml.Marshal(map[string]any{"why": why, "changes": changes})
	if err != nil {
		return noPlan, errors.Wrap(err, "fleet: intent")
	}
	client, err := f.Operator(f.entries[0])
	if err != nil {
		return noPlan, err
	}
	var id string
	err = Eventually(startTimeout, func() error {
		answer, err := client.Intent("fleet", body)
		id = answer.ID
		return err
	})
	if err != nil {
		return noPlan, err
	}
	return client.MakePlan(id)
}

// AwaitServing waits until every entry instance is ready and every engine has loaded its layers.
func (f *Fleet) AwaitServing() error {
	return Eventually(startTimeout, func() error {
		for _, e := range f.entries {
			if _, err := Get[any](e.Health, "/health/ready"); err != nil {
				return errors.Wrapf(err, "fleet: %s is not ready", e.Name)
			}
			serving, err := Metric(e.Health, "jx_servers_serving")
			if err != nil || int(serving) < len(f.spec.Engines) {
				return errors.Errorf("fleet: %s knows %d serving engines: %v", e.Name, serving, err)
			}
		}
		for _, e := range f.engines {
			r, err := EngineReport(e.Addr)
			if err != nil || r.State != "ready" {
				return errors.Errorf("fleet: engine %s is %q", e.Name, r.State)
			}
		}
		return nil
	})
}

// Eventually calls try until it succeeds or the time limit has passed, and returns its last error.
func Eventually(limit time.Duration, try func() error) error {
	end := time.Now().Add(limit)
	for {
		err := try()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(retryDelay)
	}
}

// Post sends a JSON value to a path of a fake; it retries until the status is 200 or startTimeout has passed.
func Post(addr, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "fleet: encode")
	}
	return Eventually(startTimeout, func() error {
		req := fasthttp.AcquireRequest()
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI("http://" + addr + path)
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBody(body)
		if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
			return errors.Wrapf(err, "fleet: post %s", path)
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return errors.Errorf("fleet: post %s: status %d", path, resp.StatusCode())
		}
		return nil
	})
}

// Get reads a path; a JSON body is decoded, any other body is ignored, and any status but 200 is an error.
func Get[T any](addr, path string) (T, error) {
	var value T
	code, body, err := fasthttp.GetTimeout(nil, "http://"+addr+path, callTimeout)
	if err != nil {
		return value, err
	}
	if code != fasthttp.StatusOK {
		return value, errors.Errorf("status %d", code)
	}
	if json.Valid(body) {
		err = json.Unmarshal(body, &value)
	}
	return value, err
}
