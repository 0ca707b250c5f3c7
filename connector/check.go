package connector

import (
	"strings"

	"agatevalve/common/fault"
	"agatevalve/tabler"
)

const malformedRemedy = "compare the versions of agatevalve and of the table service"

// checkRead rejects rows that were not requested, appear twice or have no
// version.
func checkRead(keys []tabler.Key, rows []tabler.Row) error {
	pending := make(map[tabler.Key]bool, len(keys))
	for _, k := range keys {
		pending[k] = true
	}
	for _, r := range rows {
		if !pending[r.Key] || r.Version == 0 {
			return errUnexpectedRow(r.Key)
		}
		pending[r.Key] = false
	}
	return nil
}

// checkScan rejects rows of another table or prefix, rows that are not in strictly
// ascending order and rows without a version.
func checkScan(table, prefix string, rows []tabler.Row) error {
	last := ""
	for _, r := range rows {
		outside := r.Key.Table != table || !strings.HasPrefix(r.Key.Row, prefix)
		if outside || r.Version == 0 || r.Key.Row <= last {
			return errUnexpectedRow(r.Key)
		}
		last = r.Key.Row
	}
	return nil
}

// checkConflicts rejects conflicts of rows that were not written with a version
// check, conflicts that appear twice and conflicts whose version is the expected
// one.
func checkConflicts(writes []tabler.Write, conflicts []tabler.Row) error {
	if len(conflicts) == 0 {
		return nil
	}
	expected := make(map[tabler.Key]tabler.Version, len(writes))
	for _, w := range writes {
		if !w.Unconditional {
			expected[w.Key] = w.Expect
		}
	}
	for _, r := range conflicts {
		expect, ok := expected[r.Key]
		if !ok || expect == r.Version {
			return errUnexpectedRow(r.Key)
		}
		delete(expected, r.Key)
	}
	return nil
}

func errUnexpectedRow(key tabler.Key) error {
	return fault.New(fault.Invalid, malformedRemedy, "the table service sent an unexpected row %s of %s", key.Row, key.Table)
}
