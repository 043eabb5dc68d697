package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/strictjson"
)

// Fault is a validation error in settings.
type Fault = strictjson.Fault

var (
	labelPattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	envNamePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)
)

var rules = strictjson.NewRules(map[string]strictjson.Rule{
	"label": {
		Allowed: "1 to 128 of A-Z, a-z, 0-9, '.', '_' and '-', beginning with a letter or digit",
		Remedy:  "Write the name as the platform knows it.",
		Valid:   labelPattern.MatchString,
	},
	"ipport": {
		Allowed: `an IP address and a port, such as "10.20.1.5:8080" or "[fd00::5]:8080"`,
		Remedy:  "Write this VM's own IP address and a port.",
		Valid:   validIPPort,
	},
	"baseurl": {
		Allowed: `an http or https URL with a host, such as "http://10.20.1.9:9000/table"`,
		Remedy:  "Write the base URL without user, query and fragment.",
		Valid:   validBaseURL,
	},
	"envname": {
		Allowed: "the name of an environment variable",
		Remedy:  "Write the variable's name, never the secret itself.",
		Valid:   envNamePattern.MatchString,
	},
	"servicename": document.ServiceNameRule,
})

func validIPPort(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func validBaseURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" {
		return false
	}
	return u.User == nil && u.RawQuery == "" && u.Fragment == ""
}

// Parse decodes settings strictly into value, which holds the defaults, and returns all
// faults. checkFields returns the faults between fields.
func Parse[T any](data []byte, value *T, checkFields func(*T) []Fault) []Fault {
	faults := strictjson.Parse(data, value, func(v *T) []Fault {
		return append(rules.Check(v), checkFields(v)...)
	})
	for i := range faults {
		redactSecret(&faults[i])
	}
	return faults
}

// redactSecret removes the value from a fault in a field that refers to a secret. If the
// field holds the secret itself by mistake, it would appear in the log of the failed start.
func redactSecret(fault *Fault) {
	if strings.Contains(fault.Path, ".currentKey") || strings.Contains(fault.Path, ".previousKey") {
		fault.Value = "(not shown)"
	}
}

// Check returns the faults between the fields of the keys; path is the path of the Link.
func (l Link) Check(path string) []Fault {
	var faults []Fault
	if l.CurrentKey == (Secret{}) {
		faults = append(faults, strictjson.NewFault(path+".currentKey", nil, "an object with file or env", "Name the file or environment variable that holds the key."))
	}
	faults = append(faults, l.CurrentKey.check(path+".currentKey")...)
	return append(faults, l.PreviousKey.check(path+".previousKey")...)
}

func (s Secret) check(path string) []Fault {
	if s.File == "" || s.Env == "" {
		return nil
	}
	return []Fault{strictjson.NewFault(path, nil, "one of file and env", "Remove one of the two.")}
}

// Check returns a fault if only one of the two files is set.
func (t TLS) Check(path string) []Fault {
	switch {
	case t.CertFile != "" && t.KeyFile == "":
		return []Fault{strictjson.NewFault(path+".keyFile", "", "a file name, as certFile is set", "Name the private key's file.")}
	case t.CertFile == "" && t.KeyFile != "":
		return []Fault{strictjson.NewFault(path+".certFile", "", "a file name, as keyFile is set", "Name the certificate's file.")}
	}
	return nil
}

// Check returns the faults between exporter and endpoint.
func (t Trace) Check(path string) []Fault {
	switch {
	case t.Exporter == ExporterOTLP && t.Endpoint == "":
		return []Fault{strictjson.NewFault(path+".endpoint", "", "a base URL, as the exporter is otlp", "Name the collector.")}
	case t.Exporter != ExporterOTLP && t.Endpoint != "":
		return []Fault{strictjson.NewFault(path+".endpoint", t.Endpoint, "nothing unless the exporter is otlp", "Remove it or set the exporter to otlp.")}
	}
	return nil
}

// AtMost returns a fault if the value at path is greater than bound, the value of the field
// other.
func AtMost(path string, value int, other string, bound int) []Fault {
	if value <= bound {
		return nil
	}
	allowed := strconv.Itoa(bound) + " (" + other + ") or less"
	return []Fault{strictjson.NewFault(path, value, allowed, "Lower it or raise "+other+".")}
}
