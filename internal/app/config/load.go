package config

import (
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/valyala/fastjson"
	"go.uber.org/multierr"

	"tansyseam/internal/protocol/schema"
)

// Reasons why a value in the file is invalid.
const (
	errNotList   = errors.ConstError("list must hold strings")
	errNotScalar = errors.ConstError("must be a string, number, boolean or list of strings")
)

// Parse reads the arguments of a program, then the file that they name. Its
// errors are ErrInvalid; Reasons returns their causes.
func Parse(program Program, args []string) (Config, error) {
	parsed, err := parseArguments(program, args)
	if err != nil {
		return Config{}, errors.WithType(err, ErrInvalid)
	}
	loaded, err := Load(program, parsed.file, parsed.flagValues)
	loaded.CheckOnly = parsed.checkOnly
	return loaded, err
}

// Load reads the file, unless its name is empty, applies the flags, which take
// precedence, and validates the configuration. Its errors are ErrInvalid;
// Reasons returns their causes.
func Load(program Program, file string, flags map[string]string) (Config, error) {
	loaded := defaults()
	loaded.File = file
	var failures error
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return loaded, errors.WithType(err, ErrInvalid)
		}
		failures = applyFile(program, &loaded, data)
	}
	failures = multierr.Append(failures, applyFlags(program, &loaded, flags))
	failures = multierr.Append(failures, validate(program, loaded))
	if failures != nil {
		return loaded, newInvalidError(failures)
	}
	if loaded.AdvertiseRPCAddress == "" {
		loaded.AdvertiseRPCAddress = loaded.RPCAddress
	}
	if loaded.AdvertiseHTTPAddress == "" {
		loaded.AdvertiseHTTPAddress = loaded.HTTPAddress
	}
	return loaded, nil
}

func applyFlags(program Program, cfg *Config, flags map[string]string) error {
	var failures error
	for _, s := range settingsOf(program) {
		value, found := flags[s.name]
		if !found {
			continue
		}
		if err := s.parse(cfg, value); err != nil {
			failures = multierr.Append(failures, errors.Errorf("--%s: %v", s.flag(), err))
		}
	}
	return failures
}

func applyFile(program Program, cfg *Config, data []byte) error {
	value, err := fastjson.ParseBytes(data)
	if err != nil {
		return errors.Annotate(err, "settings file is not JSON")
	}
	object, err := value.Object()
	if err != nil {
		return errors.New("settings file must hold one object")
	}
	failures := duplicateKeys(value)
	object.Visit(func(key []byte, item *fastjson.Value) {
		if err := applyField(program, cfg, string(key), item); err != nil {
			failures = multierr.Append(failures, errors.Errorf("/%s: %v", key, err))
		}
	})
	return failures
}

func duplicateKeys(value *fastjson.Value) error {
	var violations []schema.Violation
	schema.Decode(value, "", &violations)
	var failures error
	for _, violation := range violations {
		failures = multierr.Append(failures, errors.Errorf("%s: %s", violation.Path, violation.Reason))
	}
	return failures
}

func applyField(program Program, cfg *Config, name string, item *fastjson.Value) error {
	s, found := findSetting(program, name)
	if !found {
		return errors.Errorf("no such setting of %s", program)
	}
	text, err := scalarText(item)
	if err != nil {
		return err
	}
	return s.parse(cfg, text)
}

// scalarText returns a value of the file in the text form that flags use.
func scalarText(item *fastjson.Value) (string, error) {
	if list, err := item.Array(); err == nil {
		var texts []string
		for _, element := range list {
			text, err := element.StringBytes()
			if err != nil {
				return "", errNotList
			}
			texts = append(texts, string(text))
		}
		return strings.Join(texts, ","), nil
	}
	if text, err := item.StringBytes(); err == nil {
		return string(text), nil
	}
	if item.Type() == fastjson.TypeObject || item.Type() == fastjson.TypeNull {
		return "", errNotScalar
	}
	return item.String(), nil
}
