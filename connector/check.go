package connector

import (
	"strings"

	"agatevalve/common/fault"
	"agatevalve/tabler"
)

const malformedRemedy = "compare the versions of agatevalve and of the table service"

// checkRead refuses rows that were not asked for, stand twice or have no version.
func checkRead(keys []tabler.Key, rows []tabler.Row) error {
	wanted := make(map[tabler.Key]bool, len(keys))
	for _, k := range keys {
		wanted[k] = true
	}
	for _, r := range rows {
		if !wanted[r.Key] || r.Version == 0 {
			return errUnexpectedRow(r.Key)
		}
		wanted[r.Key] = false
	}
	return nil
}

// checkScan refuses rows outside of the prefix or out of order.
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

// checkConflicts refuses conflicts with rows that were not written.
func checkConflicts(writes []tabler.Write, conflicts []tabler.Row) error {
	if len(conflicts) == 0 {
		return nil
	}
	checked := make(map[tabler.Key]tabler.Version, len(writes))
	for _, w := range writes {
		if !w.Unconditional {
			checked[w.Key] = w.Expect
		}
	}
	for _, r := range conflicts {
		expect, ok := checked[r.Key]
		if !ok || expect == r.Version {
			return errUnexpectedRow(r.Key)
		}
		delete(checked, r.Key)
	}
	return nil
}

func errUnexpectedRow(key tabler.Key) error {
	return fault.New(fault.Invalid, malformedRemedy, "the table service sent an unexpected row %s of %s", key.Row, key.Table)
}
