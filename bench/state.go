package bench

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"junctioncross/fleet"
	"junctioncross/intent"
	"junctioncross/models"
	"junctioncross/plan"
	"junctioncross/revision"
	"junctioncross/route"
	"junctioncross/view"
)

// The design size: the fleet that the limits are checked for.
const (
	designAccounts = 20_000
	designModels   = 35
	designDomains  = 7
	designLayers   = 48
	megabyte       = 1 << 20
)

// State measures in this process the memory that the configuration takes in an instance at the design size, the time to
// apply it, to place the models and to build the graphs of one domain.
func State(p *Printer) error {
	d := designDocument(designAccounts)
	start := time.Now()
	placed, _ := plan.Place(d)
	p.Figure("plan_s", time.Since(start).Seconds(), "s")
	for _, accounts := range []int{designAccounts / 4, designAccounts / 2, designAccounts} {
		if err := measureState(p, placed, accounts); err != nil {
			return err
		}
	}
	return measureGraphs(p, placed)
}

// designDocument returns a configuration of the design size, with that many accounts, on which no layers are placed yet.
func designDocument(accounts int) *intent.Document {
	d := &intent.Document{Kinds: fleet.Kinds()}
	for i := range designModels {
		name := fmt.Sprintf("model-%02d", i)
		d.Models = append(d.Models, intent.Model{Name: name, Layers: designLayers, Version: "v1"})
		d.Groups = append(d.Groups, intent.Group{Name: fmt.Sprintf("group-%02d", i), Weight: float64(1 + i%3), Models: []string{name}})
	}
	d.Accounts = designAccountList(accounts)
	for i := range designDomains * domainBackends {
		d.Backends = append(d.Backends, intent.Backend{
			Name: fmt.Sprintf("server-%04d", i), Addr: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Domain: fmt.Sprint("d", i%designDomains),
			Kind: d.Kinds[i/designDomains%len(d.Kinds)].Name, ChecksFence: true,
		})
	}
	return d
}

func designAccountList(count int) []intent.Account {
	out := make([]intent.Account, count)
	for i := range out {
		name := fmt.Sprintf("account-%05d", i)
		out[i] = intent.Account{Name: name, Group: fmt.Sprintf("group-%02d", i%designModels), Weight: 1, KeyHash: view.HashKey(name)}
	}
	return out
}

// measureState measures memory and time of the configuration in force with that many accounts, and the sizes of its stored
// records.
func measureState(p *Printer, placed *intent.Document, accounts int) error {
	d := placed.Clone()
	d.Accounts = designAccountList(accounts)
	segments, err := revision.Split(d)
	if err != nil {
		return err
	}
	head := revision.Head{Revision: 1, Segments: map[string]string{}}
	bodies := map[string][]byte{}
	largest := 0
	for _, s := range segments {
		head.Segments[s.Name()] = s.Hash()
		bodies[s.Hash()] = s.Body()
		largest = max(largest, len(s.Body()))
	}
	before := heapBytes()
	keeper := revision.NewKeeper()
	start := time.Now()
	if _, err := keeper.Offer(head, func(hash string) ([]byte, error) {
		return append([]byte(nil), bodies[hash]...), nil
	}); err != nil {
		return err
	}
	index := view.NewIndex(keeper.InForce())
	took := time.Since(start)
	after := heapBytes()
	at := fmt.Sprintf("_%d", accounts)
	p.Figure("config_state_mb"+at, float64(after-before)/megabyte, "MB")
	p.Figure("config_apply_ms"+at, millis(took), "ms")
	p.Figure("segment_bytes_max"+at, float64(largest), "B")
	body, err := json.Marshal(head)
	p.Figure("head_bytes"+at, float64(len(body)), "B")
	runtime.KeepAlive(index)
	runtime.KeepAlive(bodies)
	return err
}

// heapBytes returns the size of the heap in use after two garbage collections.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// measureGraphs measures how long it takes to build the graphs of all models over the servers of one domain.
func measureGraphs(p *Printer, d *intent.Document) error {
	start := time.Now()
	lanes := 0
	for _, m := range d.Models {
		var nodes []route.Node
		for i, b := range d.Backends {
			if b.Model == m.Name && b.Domain == "d0" {
				k := d.Kind(b.Kind)
				nodes = append(nodes, route.Node{Server: i, Layers: b.Layers, Weight: plan.LayerRate(k) / float64(b.Layers.Count())})
			}
		}
		lanes += len(route.NewGraph(m.Layers, nodes).Lanes())
	}
	p.Figure("graphs_ms", millis(time.Since(start)), "ms")
	p.Figure("lanes_of_a_domain", float64(lanes), "count")
	return checkTiling(d)
}

// checkTiling returns an error if the distinct layer ranges placed for a model in the first domain do not add up to all its
// layers.
func checkTiling(d *intent.Document) error {
	for _, m := range d.Models {
		counted := map[models.Layers]bool{}
		layers := 0
		for _, b := range d.Backends {
			if b.Model == m.Name && b.Domain == "d0" && !counted[b.Layers] {
				counted[b.Layers] = true
				layers += b.Layers.Count()
			}
		}
		if layers != m.Layers {
			return fmt.Errorf("bench: model %s has %d of %d layers placed", m.Name, layers, m.Layers)
		}
	}
	return nil
}
