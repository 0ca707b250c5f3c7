package measurer

import (
	"math"
	"math/rand/v2"
	"time"

	"agatevalve/common/fault"
)

// Deployment is the size and the network latencies of one installation.
type Deployment struct {
	Name string
	// Pool is the pool that all minions serve.
	Pool string
	// Zones are the availability zones.
	Zones []string
	// WasteWeight is the cost of one wasted message on idempotent routes, as
	// routes are configured with it.
	WasteWeight int
	// CrossZoneLatency is the one-way latency between two zones, InZoneLatency
	// that within one, and ClientLatency that between a caller and an entry.
	CrossZoneLatency time.Duration
	InZoneLatency    time.Duration
	ClientLatency    time.Duration
	// Slots is the number of tasks that each minion runs at once.
	Slots int
	// ServiceFactors holds the service time of each minion divided by that of the
	// average minion; their mean is 1.
	ServiceFactors []float64
	// EntryShares holds the share of the arrivals that each entry gets; they sum
	// to 1.
	EntryShares []float64
}

// Deployments returns the deployments that can be measured.
func Deployments() []Deployment {
	factors := []float64{0.7, 0.75, 0.8, 0.85, 0.95, 1, 1.1, 1.15, 1.2, 1.5}
	shares := []float64{0.5, 0.3, 0.2}
	return []Deployment{
		{
			Name: "campanario", Pool: "ascenso-desk", WasteWeight: 20,
			Zones:            []string{"cartago", "heredia", "alajuela"},
			CrossZoneLatency: 1500 * time.Microsecond, InZoneLatency: 200 * time.Microsecond,
			ClientLatency: 3 * time.Millisecond,
			Slots:         8, ServiceFactors: factors, EntryShares: shares,
		},
		{
			Name: "reed-office", Pool: "reed-desk", WasteWeight: 80,
			Zones:            []string{"nyarugenge", "gasabo", "kicukiro"},
			CrossZoneLatency: time.Millisecond, InZoneLatency: 200 * time.Microsecond,
			ClientLatency: time.Millisecond,
			Slots:         8, ServiceFactors: factors, EntryShares: shares,
		},
	}
}

// FindDeployment returns the deployment with a name.
func FindDeployment(name string) (Deployment, error) {
	for _, d := range Deployments() {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, fault.New(fault.NotFound, "name campanario or reed-office", "there is no deployment %q", name)
}

// latency returns the one-way latency between two zones.
func (d Deployment) latency(a, b string) time.Duration {
	if a == b {
		return d.InZoneLatency
	}
	return d.CrossZoneLatency
}

// zone returns the zone of the i-th process of a kind, in rotation.
func (d Deployment) zone(i int) string { return d.Zones[i%len(d.Zones)] }

// slots returns the number of slots of all minions.
func (d Deployment) slots() int { return d.Slots * len(d.ServiceFactors) }

// capacity returns the number of tasks that all minions can complete per
// second.
func (d Deployment) capacity() float64 {
	rate := 0.0
	for _, f := range d.ServiceFactors {
		rate += float64(d.Slots) / f
	}
	return rate / meanServiceTime().Seconds()
}

const (
	// minServiceTime and maxServiceTime bound the service time of most tasks.
	minServiceTime = 50 * time.Millisecond
	maxServiceTime = time.Second
	// tailShare of the tasks last between minTailTime and maxTailTime.
	tailShare   = 0.01
	minTailTime = 2 * time.Second
	maxTailTime = 5 * time.Second
)

// drawServiceTime draws the service time of a task at an average minion:
// log-uniform for most tasks, uniform in the tail.
func drawServiceTime(random *rand.Rand) time.Duration {
	if random.Float64() < tailShare {
		return minTailTime + time.Duration(random.Float64()*float64(maxTailTime-minTailTime))
	}
	logRange := math.Log(float64(maxServiceTime) / float64(minServiceTime))
	return time.Duration(float64(minServiceTime) * math.Exp(random.Float64()*logRange))
}

// meanServiceTime returns the mean of drawServiceTime.
func meanServiceTime() time.Duration {
	logRange := math.Log(float64(maxServiceTime) / float64(minServiceTime))
	body := float64(maxServiceTime-minServiceTime) / logRange
	tail := float64(minTailTime+maxTailTime) / 2
	return time.Duration((1-tailShare)*body + tailShare*tail)
}
