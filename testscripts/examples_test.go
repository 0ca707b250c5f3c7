package testscripts_test

import (
	"os"
	"path/filepath"
	"regexp"

	"github.com/rogpeppe/go-internal/testscript"
)

// exampleAddress matches an address in the example files and pages.
var exampleAddress = regexp.MustCompile(`127\.0\.0\.1:([0-9]+)`)

// copyExamples copies the example files into the directory examples of a script,
// and replaces each address by a free one. The variable ADDRESS_PORT holds the
// replacement of 127.0.0.1:PORT.
func copyExamples(env *testscript.Env, source string) error {
	target := filepath.Join(env.WorkDir, "examples")
	if err := os.Mkdir(target, directoryMode); err != nil {
		return err
	}
	files, err := filepath.Glob(filepath.Join(source, "*.json"))
	if err != nil {
		return err
	}
	replacements := make(map[string]string)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		for _, match := range exampleAddress.FindAllStringSubmatch(string(text), -1) {
			if replacements[match[0]] != "" {
				continue
			}
			address, err := ports.Free()
			if err != nil {
				return err
			}
			replacements[match[0]] = address.String()
			env.Setenv("ADDRESS_"+match[1], address.String())
		}
		replacedText := exampleAddress.ReplaceAllStringFunc(string(text), func(a string) string { return replacements[a] })
		if err := os.WriteFile(filepath.Join(target, filepath.Base(file)), []byte(replacedText), fileMode); err != nil {
			return err
		}
	}
	return nil
}
