package fleet

import (
	"fmt"

	"junctioncross/ports"
)

// Service is one process of a plain service.
type Service struct {
	Process *Process
	Name    string
	Addr    string
}

// startServices starts the processes of the plain services.
func (f *Fleet) startServices() error {
	for _, s := range f.spec.Services {
		addrs, err := ports.Free(s.Count)
		if err != nil {
			return err
		}
		for i, addr := range addrs {
			name := fmt.Sprintf("%s-%d", s.Name, i)
			p, err := f.starter.start(name, f.program("jxfake"), "service", "--listen", addr, "--name", s.Name)
			if err != nil {
				return err
			}
			f.services = append(f.services, &Service{Process: p, Name: s.Name, Addr: addr})
		}
	}
	return nil
}
