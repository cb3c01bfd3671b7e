package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Print returns the configuration as JSON with a fixed order of fields, an indent of two spaces and a newline at the
// end. Equal configurations have equal prints, and Parse gives back every configuration that passes Check; an empty list
// and an absent one are the same. A NaN or infinite number, which Check refuses, has no JSON form: the print is then a
// JSON string with the error, which Parse refuses.
func (cfg *Config) Print() []byte {
	out, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return []byte(fmt.Sprintf("%q\n", err.Error()))
	}
	return append(out, '\n')
}

// Parse decodes a printed configuration. It returns an error for anything but one JSON object with known fields, each at
// most once; the error names the field. It does not Check the configuration.
func Parse(data []byte) (*Config, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var cfg Config
	if err := d.Decode(&cfg); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	// Decoder.More is false before a stray closing bracket, so only the end of the input shows that nothing follows.
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("configuration: data after the end")
	}
	// After decoding, because a decoded value is no deeper than the types, and refuseRepeated recurses.
	if err := refuseRepeated(json.NewDecoder(bytes.NewReader(data)), ""); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	return &cfg, nil
}

// refuseRepeated returns an error for an object that has a field twice. The JSON decoder would merge the two values, so
// that a second "teams" overwrites entries of the first. It also folds the case of names, hence the comparison does.
func refuseRepeated(d *json.Decoder, place string) error {
	token, err := d.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		seen := map[string]bool{}
		for d.More() {
			key, err := d.Token()
			if err != nil {
				return err
			}
			name := fmt.Sprint(key)
			at := strings.TrimPrefix(place+"."+name, ".")
			if seen[strings.ToLower(name)] {
				return errors.Newf("%s is given twice", at)
			}
			seen[strings.ToLower(name)] = true
			if err := refuseRepeated(d, at); err != nil {
				return err
			}
		}
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			if err := refuseRepeated(d, fmt.Sprintf("%s[%d]", place, i)); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	_, err = d.Token() // the closing bracket
	return err
}
