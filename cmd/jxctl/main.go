// Command jxctl is the operators' tool: it sends intents, makes, shows and confirms plans, shows status and history, creates
// certificates for development and explains log files.
package main

import (
	"path/filepath"

	"github.com/alecthomas/kong"

	"junctioncross/keys"
	"junctioncross/operator"
)

type commands struct {
	Address string `default:"127.0.0.1:7100" env:"JX_ADDRESS" help:"IP number and port of an instance's operators' listener."`
	Keys    string `default:"keys" env:"JX_KEYS" help:"Directory with ca.pem and the operator's certificate and key."`
	As      string `default:"operator" env:"JX_AS" help:"Name of the operator's certificate in the directory."`

	Intent   intentCommand   `cmd:"" help:"State an intent; nothing changes."`
	Plan     planCommand     `cmd:"" help:"Make or show the plan for an intent; nothing changes."`
	Confirm  confirmCommand  `cmd:"" help:"Confirm a plan: its configuration comes into force."`
	Status   statusCommand   `cmd:"" help:"Show every instance with the revision that it has in force."`
	Load     loadCommand     `cmd:"" help:"Show the load on chained services, admission, and servers out of use."`
	History  historyCommand  `cmd:"" help:"Show the confirmed plans, the newest first."`
	Certify  certifyCommand  `cmd:"" help:"Make an authority, certificates and keys for development."`
	Why      whyCommand      `cmd:"" help:"Tell from logs what happened to a request, and why."`
	Timeline timelineCommand `cmd:"" help:"Tell from logs what an instance did and believed."`
	Hash     hashCommand     `cmd:"" help:"Print the form in which a client account's key is kept."`
}

// client returns a client of the operators' listener that authenticates with the operator's certificate.
func (c *commands) client() (*operator.Client, error) {
	ring, err := keys.NewCertReloader(keys.Files{
		Authority:   filepath.Join(c.Keys, keys.FileAuthority),
		Certificate: filepath.Join(c.Keys, c.As+".pem"),
		Key:         filepath.Join(c.Keys, c.As+"-key.pem"),
	})
	if err != nil {
		return nil, err
	}
	return operator.NewClient(c.Address, ring), nil
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("jxctl"), kong.Description("Operators' tool of junctioncross."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run(&c))
}
