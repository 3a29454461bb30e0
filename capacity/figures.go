package capacity

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Figures holds measured values by name.
type Figures struct {
	values map[string]float64
}

// ReadFigures reads the lines "figure NAME VALUE UNIT" of every .txt file in a directory and ignores all other lines. It
// returns an error if a file cannot be read or a value is not a number.
func ReadFigures(dir string) (*Figures, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.txt"))
	if err != nil {
		return nil, errors.Wrap(err, "capacity: figures")
	}
	f := &Figures{values: map[string]float64{}}
	for _, name := range files {
		if err := f.read(name); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Figures) read(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "capacity: figures")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		const parts = 4
		if len(fields) != parts || fields[0] != "figure" {
			continue
		}
		value, err := strconv.ParseFloat(fields[2], 64)
		if err != nil {
			return errors.Wrapf(err, "capacity: %s: %s", name, fields[1])
		}
		f.values[fields[1]] = value
	}
	return errors.Wrap(lines.Err(), "capacity: figures")
}

// Get returns a value by name. If there is no such figure, it returns an error that names it.
func (f *Figures) Get(name string) (float64, error) {
	v, ok := f.values[name]
	if !ok {
		return 0, errors.Errorf("capacity: no figure %s", name)
	}
	return v, nil
}
