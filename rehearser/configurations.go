package rehearser

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"agatevalve/admitter"
	"agatevalve/common/work"
	"agatevalve/platform"
	"agatevalve/platform/imitator"
	"agatevalve/router"
	"agatevalve/subscriber"
)

const (
	// minAdoptionDelay and maxAdoptionDelay bound the time until an entry has read a new
	// configuration, and adoptionTimeout is when it has to be in force.
	minAdoptionDelay = 2 * time.Millisecond
	maxAdoptionDelay = 1500 * time.Millisecond
	adoptionTimeout  = 2 * time.Second
)

// Configurations are the documents that the operator writes on a day.
type Configurations struct {
	// Interval is the time between two documents; 0 for a day without them, on which
	// entries know the routes of the day.
	Interval time.Duration
	// RefuseOdd injects a fault: entries that have a configuration refuse a document of
	// which they don't use all values as written.
	RefuseOdd bool
}

// operator writes documents that are drawn from all that the platform accepts.
type operator struct {
	drawer *imitator.DocumentDrawer
	random *rand.Rand
	// document is the newest one.
	document subscriber.Document
	// probePaths holds by version the path of a request for a route that only this
	// version has.
	probePaths map[int64]string
}

// startConfigurations writes the first document, which all entries know, and later
// ones.
func (w *world) startConfigurations() {
	if w.day.Configurations.Interval == 0 {
		return
	}
	random := rand.New(rand.NewPCG(w.day.Seed, 3))
	w.operator = &operator{drawer: imitator.NewDocumentDrawer(random), random: random, probePaths: make(map[int64]string)}
	w.writeDocument()
	for _, e := range w.entries {
		e.readDocument()
	}
	w.after(w.day.Configurations.Interval, w.changeConfiguration)
}

// writeDocument writes the next document.
func (w *world) writeDocument() {
	o := w.operator
	version := o.document.Version + 1
	probePrefix, probePath := o.drawer.Prefix(fmt.Sprint("probe-", version))
	o.probePaths[version] = probePath
	routes := []imitator.Route{{Name: "probe", Prefix: probePrefix, Attempts: 1}}
	for _, r := range w.day.Routes {
		routes = append(routes, imitator.Route{Name: r.Name, Prefix: r.prefix(), Attempts: maxAttempts, Priority: r.Priority, AnswerWithin: callerTimeout})
	}
	o.document = subscriber.Document{Version: version, Content: o.drawer.Document(version, routes)}
}

// prefix returns the path prefix of a route.
func (r Route) prefix() string { return "/" + r.Name + "/" }

// changeConfiguration writes a document, which each entry reads after a time of its
// own.
func (w *world) changeConfiguration() {
	w.writeDocument()
	document, writtenAt := w.operator.document, w.now
	for _, e := range w.entries {
		delay := minAdoptionDelay + time.Duration(w.operator.random.Int64N(int64(maxAdoptionDelay-minAdoptionDelay)))
		incarnation := e.incarnation
		w.after(delay, func() { e.adopt(document) })
		w.after(adoptionTimeout, func() {
			if e.runs() && e.incarnation == incarnation && !e.frozenUntil.After(writtenAt) {
				w.verifier.checkConfiguration(e, document.Version)
			}
		})
	}
	w.after(w.day.Configurations.Interval, w.changeConfiguration)
}

// readDocument makes the newest document that of an entry that starts.
func (e *entryNode) readDocument() {
	if e.world.operator != nil {
		e.table = nil
		e.adopt(e.world.operator.document)
	}
}

// adopt puts a document into force at an entry unless it has a newer one.
func (e *entryNode) adopt(document subscriber.Document) {
	if e.table != nil && e.table.Revision() >= uint64(document.Version) {
		return
	}
	parsed, err := platform.ParseDocument(document.Content)
	if err != nil {
		e.world.trace("%s refused a document: %v", e.name(), err)
		return
	}
	configuration, err := platform.Compile(parsed)
	if err != nil || e.world.day.Configurations.RefuseOdd && len(configuration.Warnings) > 0 && e.table != nil {
		e.world.trace("%s refused version %d: %v", e.name(), document.Version, err)
		return
	}
	e.table = configuration.Table
}

// admit applies the route that the entry has for a job, and reports whether it has
// one. On days without configurations the job stays as it is.
func (e *entryNode) admit(job work.Job, prefix string) (work.Job, bool) {
	switch {
	case e.world.operator == nil:
		return job, true
	case e.table == nil:
		return job, false
	}
	plan, err := e.table.Match(router.Request{Host: imitator.Host, Path: prefix + job.ID, Method: http.MethodPost})
	if err != nil {
		e.world.verifier.violation("config: %s has no route for job %s under %s: %v", e.name(), job.ID, prefix, err)
		return job, false
	}
	admitted, err := admitter.Admit(work.Submission{
		ID: job.ID, Arrived: job.Arrived, Deadline: job.Deadline,
		Steps: []work.Step{{Count: job.Count, Room: job.Room, Hint: job.Hint}},
	}, plan)
	if err != nil || admitted.Service != job.Service || admitted.Attempts != maxAttempts || admitted.Priority != job.Priority {
		e.world.verifier.violation("config: %s admits job %s under %s as %+v: %v", e.name(), job.ID, prefix, admitted, err)
	}
	job.Route, job.Stretch, job.Allowance = admitted.Route, admitted.Stretch, admitted.Allowance
	return job, true
}

// hasRoute reports whether a route matches a path as it is in a request line.
func (e *entryNode) hasRoute(escapedPath string) bool {
	path, err := url.PathUnescape(escapedPath)
	if err != nil {
		panic(err) // The drawer escapes its paths.
	}
	_, err = e.table.Match(router.Request{Host: imitator.Host, Path: path, Method: http.MethodGet})
	return err == nil
}

// checkConfiguration checks that an entry has at least a version, and has the probe
// route of its version and not that of the version before.
func (v *verifier) checkConfiguration(e *entryNode, version int64) {
	if e.table == nil {
		v.violation("config: %s has no configuration", e.name())
		return
	}
	inForce := int64(e.table.Revision())
	if inForce < version {
		v.violation("config: %s lacks version %d", e.name(), version)
	}
	if !e.hasRoute(v.world.operator.probePaths[inForce]) {
		v.violation("config: %s lacks a route of version %d", e.name(), inForce)
	}
	if previous, ok := v.world.operator.probePaths[inForce-1]; ok && e.hasRoute(previous) {
		v.violation("config: %s has a route that version %d has dropped", e.name(), inForce)
	}
}
