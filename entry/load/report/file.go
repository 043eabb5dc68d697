package report

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// File is the stored form of the reports of a load run.
type File struct {
	// Summaries hold the medians and ranges by label.
	Summaries []Summary `json:"summaries"`
	Reports   []*Report `json:"reports"`
}

// Write stores reports as JSON.
func (f *File) Write(path string) error {
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return errors.Wrap(err, "reports")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), fileMode), "write reports")
}

const fileMode = 0o644

// Read reads a file that Write stored.
func Read(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read reports")
	}
	f := &File{}
	if err := json.Unmarshal(data, f); err != nil {
		return nil, errors.Wrapf(err, "decode reports in %s", path)
	}
	return f, nil
}
