package testscripts_test

import (
	"os"
	"path/filepath"
	"regexp"

	"github.com/rogpeppe/go-internal/testscript"
)

// exampleAddress is an address of the example files and of the pages.
var exampleAddress = regexp.MustCompile(`127\.0\.0\.1:([0-9]+)`)

// copyExamples writes the example files into the script's directory examples,
// with a free address in place of each one. The variable ADDRESS_PORT holds
// the one that took the place of 127.0.0.1:PORT.
func copyExamples(env *testscript.Env, source string) error {
	target := filepath.Join(env.WorkDir, "examples")
	if err := os.Mkdir(target, directoryMode); err != nil {
		return err
	}
	files, err := filepath.Glob(filepath.Join(source, "*.json"))
	if err != nil {
		return err
	}
	free := make(map[string]string)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		for _, match := range exampleAddress.FindAllStringSubmatch(string(text), -1) {
			if free[match[0]] != "" {
				continue
			}
			address, err := ports.Free()
			if err != nil {
				return err
			}
			free[match[0]] = address.String()
			env.Setenv("ADDRESS_"+match[1], address.String())
		}
		replaced := exampleAddress.ReplaceAllStringFunc(string(text), func(a string) string { return free[a] })
		if err := os.WriteFile(filepath.Join(target, filepath.Base(file)), []byte(replaced), writeMode); err != nil {
			return err
		}
	}
	return nil
}
