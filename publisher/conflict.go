package publisher

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"agatevalve/common/fault"
	"agatevalve/historian"
)

// mostNamed is how many revisions a conflict names.
const mostNamed = 10

// ConflictError is the error of an edit whose base is not in force any more.
type ConflictError struct {
	// Base is the revision that the edit was made from.
	Base uint64
	// Head is the revision in force.
	Head uint64
	// Since holds the newest revisions after Base, by number, without those
	// that could not be read.
	Since []historian.Revision
	// Shared names the rows that both the edit and a revision in Since change.
	Shared []string
}

// Error names who changed what.
func (c *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the edit was made from revision %d, and revision %d is in force", c.Base, c.Head)
	for _, r := range c.Since {
		fmt.Fprintf(&b, "\n  revision %d by %s at %s changed %s: %s",
			r.Number, r.Who, r.When.UTC().Format("2006-01-02 15:04:05Z"), rowList(r.Changes), r.Why)
	}
	switch {
	case len(c.Since) == 0:
	case len(c.Shared) == 0:
		b.WriteString("\n  your edit touches none of these rows")
	default:
		b.WriteString("\n  your edit touches the same rows: " + strings.Join(c.Shared, ", "))
	}
	return b.String()
}

func (p *Publisher) conflict(ctx context.Context, edit Edit, head historian.Head) error {
	if head.Revision < edit.Base {
		return fault.New(fault.Invalid, fmt.Sprintf("use --base %d", head.Revision),
			"base revision %d was never published", edit.Base)
	}
	c := &ConflictError{Base: edit.Base, Head: head.Revision}
	first := edit.Base + 1
	if head.Revision-edit.Base > mostNamed {
		first = head.Revision - mostNamed + 1
	}
	// A conflict is told also when the store fails before its cause is read.
	if since, err := p.historian.Revisions(ctx, first, head.Revision); err == nil {
		c.Since = since
	}
	mine := rowNames(edit.Changes)
	for _, r := range c.Since {
		for _, name := range rowNames(r.Changes) {
			if slices.Contains(mine, name) && !slices.Contains(c.Shared, name) {
				c.Shared = append(c.Shared, name)
			}
		}
	}
	remedy := fmt.Sprintf("look at config diff %d %d, then apply again with --base %d", edit.Base, head.Revision, head.Revision)
	return fault.Wrap(c, fault.Conflict, remedy, "conflict")
}

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

func rowList(changes historian.Changes) string {
	names := rowNames(changes)
	if len(names) > mostNamed {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:mostNamed], ", "), len(names)-mostNamed)
	}
	return strings.Join(names, ", ")
}
