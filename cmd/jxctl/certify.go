package main

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"junctioncross/keys"
)

type certifyCommand struct {
	Dir       string   `arg:"" help:"Directory for the files."`
	Instances []string `help:"Instances as DOMAIN/NAME."`
	Operators []string `help:"Names of operators, who may do everything."`
	Viewers   []string `help:"Names of viewers, who may only look."`
}

// Run creates a new certificate authority, and a certificate with its key for each instance, operator and viewer.
func (c *certifyCommand) Run(*commands) error {
	now := time.Now()
	authority, err := keys.NewAuthority(now)
	if err != nil {
		return err
	}
	if err := authority.Write(c.Dir); err != nil {
		return err
	}
	for _, i := range c.Instances {
		domain, name, ok := strings.Cut(i, "/")
		if !ok {
			return errors.Errorf("instance %q: accepted: DOMAIN/NAME", i)
		}
		if err := authority.Issue(c.Dir, keys.NewIdentity(keys.RoleInstance, domain, name), now); err != nil {
			return err
		}
	}
	for _, o := range c.Operators {
		if err := authority.Issue(c.Dir, keys.NewIdentity(keys.RoleOperator, "", o), now); err != nil {
			return err
		}
	}
	for _, v := range c.Viewers {
		if err := authority.Issue(c.Dir, keys.NewIdentity(keys.RoleViewer, "", v), now); err != nil {
			return err
		}
	}
	return nil
}
