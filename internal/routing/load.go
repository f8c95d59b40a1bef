package routing

import (
	"math"
	"time"
)

// Sent counts a request that was sent to a replica; the caller gives the same request to Ended.
func (p *Pool) Sent(i int, request *Request, now time.Duration) {
	r := &p.replicas[i]
	p.smooth(r, now)
	r.inFlight++
	if !request.Urgent {
		r.background++
	}
	addWork(r, request, 1)
	p.learnWork(request)
	p.prefixes.record(request.Blocks, i, now)
}

// Ended takes a request off a replica.
func (p *Pool) Ended(name string, request *Request, now time.Duration) {
	i := p.Index(name)
	if i < 0 {
		return
	}
	r := &p.replicas[i]
	p.smooth(r, now)
	r.inFlight = max(r.inFlight-1, 0)
	if !request.Urgent {
		r.background = max(r.background-1, 0)
		p.packedTo = min(p.packedTo, p.packRank[i])
	}
	addWork(r, request, -1)
}

// workWeight is the share of one request in the smoothed mean.
const workWeight = 1.0 / 64

func (p *Pool) learnWork(request *Request) {
	learn(&p.meanWork, request.Work)
	if request.Urgent {
		learn(&p.meanUrgent, request.Work)
	}
}

func learn(mean *float64, work float64) {
	if *mean == 0 {
		*mean = work
		return
	}
	*mean += (work - *mean) * workWeight
}

func addWork(r *replica, request *Request, sign float64) {
	r.work = max(r.work+sign*request.Work, 0)
	if request.Urgent {
		r.urgent = max(r.urgent+sign*request.Work, 0)
	}
	if r.inFlight == 0 {
		r.work, r.urgent = 0, 0 // no drift from rounding
	}
}

// smooth moves the smoothed count towards the present one.
func (p *Pool) smooth(r *replica, now time.Duration) {
	if now > r.changed {
		share := 1 - math.Exp(-float64(now-r.changed)/float64(p.settings.ReportLag))
		r.smoothed += (float64(r.inFlight) - r.smoothed) * share
		r.changed = now
	}
}

// outlierFactor bounds one replica's reported foreign requests, in multiples of the pool's mean: a wrong report
// can at most make a replica look this much busier than the others.
const outlierFactor = 8

// Report takes over a replica's load report. Values that cannot be are ignored.
func (p *Pool) Report(name string, report LoadReport, now time.Duration) {
	i := p.Index(name)
	if i < 0 {
		return
	}
	r := &p.replicas[i]
	r.asked, r.unanswered = true, 0
	r.setLeaving(SourceLoadReport, report.Leaving)
	if !report.Leaving && now >= r.refusedUntil {
		r.setLeaving(SourceRefusal, false)
	}
	if !(report.Requests >= 0) || math.IsInf(report.Requests, 0) {
		return
	}
	p.smooth(r, now)
	if r.reported {
		p.othersSum -= r.others
	} else {
		p.reporters++
	}
	r.others = max(report.Requests-r.smoothed, 0)
	r.reportedAt, r.reported = now, true
	p.othersSum += r.others
}

// foreign estimates the work of other gateways at a replica. As a report ages, the estimate moves to the
// pool's mean, so that a replica that stopped reporting looks neither idle nor buried.
func (p *Pool) foreign(r *replica, now time.Duration) float64 {
	if p.reporters == 0 {
		return 0
	}
	mean := max(p.othersSum, 0) / float64(p.reporters)
	if !r.reported {
		return mean * p.meanWork
	}
	fresh := 1 - float64(now-r.reportedAt)/float64(p.settings.ReportLife)
	fresh = min(max(fresh, 0), 1)
	rest := 0.0
	if p.reporters > 1 {
		rest = max(p.othersSum-r.others, 0) / float64(p.reporters-1)
	}
	others := r.others
	if p.reporters > 1 {
		others = min(others, outlierFactor*(rest+float64(r.inFlight)+outlierFloor))
	}
	return (mean + (others-mean)*fresh) * p.meanWork
}

// outlierFloor is a number of foreign requests that is always believed.
const outlierFloor = 2
