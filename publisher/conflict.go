package publisher

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"agatevalve/common/fault"
	"agatevalve/historian"
)

// maxListed is the maximum number of revisions that a conflict error lists, and
// of rows that it lists for each.
const maxListed = 10

// ConflictError reports that the base of an edit is no longer in force.
type ConflictError struct {
	// Base is the revision that the edit was made from.
	Base uint64
	// Head is the revision in force.
	Head uint64
	// Since holds the newest revisions after Base, in ascending order, without
	// those that could not be read.
	Since []historian.Revision
	// SharedRows names the rows that are changed both by the edit and by a
	// revision in Since.
	SharedRows []string
}

// Error lists the author, time, reason and rows of each revision in Since.
func (c *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the edit was made from revision %d, and revision %d is in force", c.Base, c.Head)
	for _, r := range c.Since {
		fmt.Fprintf(&b, "\n  revision %d by %s at %s changed %s: %s",
			r.Number, r.Who, r.When.UTC().Format("2006-01-02 15:04:05Z"), formatRows(r.Changes), r.Why)
	}
	switch {
	case len(c.Since) == 0:
	case len(c.SharedRows) == 0:
		b.WriteString("\n  your edit touches none of these rows")
	default:
		b.WriteString("\n  your edit touches the same rows: " + strings.Join(c.SharedRows, ", "))
	}
	return b.String()
}

// newConflictError returns the error for an edit whose base is not the head: a
// fault of kind Conflict that wraps a ConflictError, or one of kind Invalid if
// the base doesn't exist yet.
func (p *Publisher) newConflictError(ctx context.Context, edit Edit, head historian.Head) error {
	if head.Revision < edit.Base {
		return fault.New(fault.Invalid, fmt.Sprintf("use --base %d", head.Revision),
			"base revision %d was never published", edit.Base)
	}
	c := &ConflictError{Base: edit.Base, Head: head.Revision}
	first := edit.Base + 1
	if head.Revision-edit.Base > maxListed {
		first = head.Revision - maxListed + 1
	}
	// The conflict is reported even if the revisions since the base can't be
	// read.
	if since, err := p.historian.Revisions(ctx, first, head.Revision); err == nil {
		c.Since = since
	}
	editRows := rowNames(edit.Changes)
	for _, r := range c.Since {
		for _, name := range rowNames(r.Changes) {
			if slices.Contains(editRows, name) && !slices.Contains(c.SharedRows, name) {
				c.SharedRows = append(c.SharedRows, name)
			}
		}
	}
	remedy := fmt.Sprintf("look at config diff %d %d, then apply again with --base %d", edit.Base, head.Revision, head.Revision)
	return fault.Wrap(c, fault.Conflict, remedy, "conflict")
}

// rowNames returns the rows that changes affect, each with its table.
func rowNames(changes historian.Changes) []string {
	names := make([]string, 0, changes.Len())
	for _, c := range changes.Routes {
		names = append(names, fmt.Sprintf("route %q", c.Name))
	}
	for _, c := range changes.Pools {
		names = append(names, fmt.Sprintf("pool %q", c.Name))
	}
	return names
}

// formatRows returns the rows that changes affect as text, at most maxListed of
// them by name.
func formatRows(changes historian.Changes) string {
	names := rowNames(changes)
	if len(names) > maxListed {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListed], ", "), len(names)-maxListed)
	}
	return strings.Join(names, ", ")
}
