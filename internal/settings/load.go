package settings

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/cloverwheel/cloverwheel/internal/strictyaml"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// Problem is one thing wrong with a file or a flag.
type Problem = strictyaml.Problem

// flagsSource names the flags in problems when there is no file.
const flagsSource = "flags"

// minimumKeyLength keeps keys from being guessed.
const minimumKeyLength = 16

// Load reads the settings file at path, puts overrides over it and checks the
// result. An empty path means that all settings come from overrides. The error
// is strictyaml.Problems and prints one line for each problem.
func Load(path string, overrides Overrides) (*Settings, error) {
	document := strictyaml.Document{File: flagsSource}
	if path != "" {
		read, problems := readOne(path)
		if len(problems) > 0 {
			return nil, problems
		}
		document = read
	}
	settings, problems := decode(document, overrides)
	if len(problems) > 0 {
		return nil, problems
	}
	return settings, nil
}

// Check reads files without starting anything and returns what is wrong with
// them. It tells settings from templates and tenants by the key "kind" and
// checks the templates and tenants of all files as one configuration.
func Check(paths ...string) []Problem {
	var problems strictyaml.Problems
	var all template.Change
	for _, path := range paths {
		problems = append(problems, checkFile(path, &all)...)
	}
	if len(problems) == 0 && !all.Empty() {
		problems = new(template.Configuration).ValidateChange(all)
	}
	return problems
}

func checkFile(path string, all *template.Change) strictyaml.Problems {
	data, problems := readFile(path)
	if len(problems) > 0 {
		return problems
	}
	documents, problems := strictyaml.Parse(path, data)
	if len(problems) > 0 {
		return problems
	}
	if len(documents) == 1 && !documents[0].Has(template.KindKey) {
		_, problems := decode(documents[0], Overrides{})
		return problems
	}
	change, problems := template.Parse(path, data)
	all.PutTemplates = append(all.PutTemplates, change.PutTemplates...)
	all.PutTenants = append(all.PutTenants, change.PutTenants...)
	return problems
}

func readFile(path string) ([]byte, strictyaml.Problems) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, strictyaml.Problems{{File: path, What: err.Error(), Remedy: "name a readable file"}}
	}
	return data, nil
}

func readOne(path string) (strictyaml.Document, strictyaml.Problems) {
	data, problems := readFile(path)
	if len(problems) > 0 {
		return strictyaml.Document{}, problems
	}
	documents, problems := strictyaml.Parse(path, data)
	if len(problems) > 0 {
		return strictyaml.Document{}, problems
	}
	switch {
	case len(documents) == 0:
		return strictyaml.Document{File: path}, nil
	case len(documents) > 1:
		return strictyaml.Document{}, strictyaml.Problems{{File: path, What: "has more than one document", Remedy: "keep one document of settings"}}
	case documents[0].Has(template.KindKey):
		return strictyaml.Document{}, strictyaml.Problems{{File: path, What: "holds a template or tenant, not settings", Remedy: "apply it with 'cloverwheel template apply'"}}
	}
	return documents[0], nil
}

func decode(document strictyaml.Document, overrides Overrides) (*Settings, strictyaml.Problems) {
	settings := &Settings{}
	if problems := document.Decode(settings); len(problems) > 0 {
		return nil, problems
	}
	settings.override(overrides)
	problems := strictyaml.Check(settings)
	problems = append(problems, settings.check()...)
	if len(problems) > 0 {
		return nil, document.Locate(problems)
	}
	settings.fillDefaults()
	return settings, nil
}

// check applies the rules that tags cannot express.
func (s *Settings) check() strictyaml.Problems {
	var problems strictyaml.Problems
	problems = append(problems, checkAddress("internal", s.Internal)...)
	problems = append(problems, checkAddress("public", s.Public)...)
	problems = append(problems, checkAddress("advertise", s.Advertise)...)
	if internal, err := netip.ParseAddrPort(s.Internal); err == nil && internal.Addr().IsUnspecified() && s.Advertise == "" {
		problems = append(problems, Problem{Field: "advertise", What: "is not given although internal listens on every address",
			Remedy: "set it to the IP:port that other nodes dial"})
	}
	if advertise, err := netip.ParseAddrPort(s.Advertise); err == nil && advertise.Addr().IsUnspecified() {
		problems = append(problems, Problem{Field: "advertise", What: "other nodes cannot dial " + s.Advertise, Remedy: "give an IP number of this machine"})
	}
	if s.Replicas != 0 && s.Replicas%2 == 0 {
		problems = append(problems, Problem{Field: "replicas", What: fmt.Sprintf("%d is even, which survives no more than %d", s.Replicas, s.Replicas-1),
			Remedy: "give an odd number"})
	}
	problems = append(problems, checkKeys("peer_keys", s.PeerKeys)...)
	return append(problems, checkKeys("operator_keys", s.OperatorKeys)...)
}

// checkAddress accepts IP:port only, because nodes are found by IP numbers.
func checkAddress(field, address string) strictyaml.Problems {
	if address == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return strictyaml.Problems{{Field: field, What: fmt.Sprintf("%q is not an address", address),
			Remedy: "give IP:port, such as 10.0.0.7:7000, or port 0 for any free one"}}
	}
	return nil
}

// checkKeys never puts a key itself into a problem.
func checkKeys(field string, keys []string) strictyaml.Problems {
	var problems strictyaml.Problems
	for i, key := range keys {
		if len(key) < minimumKeyLength {
			problems = append(problems, Problem{Field: fmt.Sprintf("%s[%d]", field, i),
				What: fmt.Sprintf("is shorter than %d characters", minimumKeyLength), Remedy: "make a longer random key"})
		}
	}
	return problems
}
