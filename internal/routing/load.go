package routing

import (
	"math"
	"time"
)

// Sent counts a request that was sent to a replica. The caller passes the same request to Ended.
func (p *Pool) Sent(i int, request *Request, now time.Duration) {
	r := &p.replicas[i]
	p.updateSmoothed(r, now)
	r.inFlight++
	if !request.Urgent {
		r.backgroundInFlight++
	}
	addWork(r, request, 1)
	p.updateMeanWork(request)
	p.prefixes.record(request.Blocks, i, now)
}

// Ended removes a request counted by Sent from a replica. It does nothing if the replica has left the pool.
func (p *Pool) Ended(name string, request *Request, now time.Duration) {
	i := p.Index(name)
	if i < 0 {
		return
	}
	r := &p.replicas[i]
	p.updateSmoothed(r, now)
	r.inFlight = max(r.inFlight-1, 0)
	if !request.Urgent {
		r.backgroundInFlight = max(r.backgroundInFlight-1, 0)
		p.packStart = min(p.packStart, p.packPosition[i])
	}
	addWork(r, request, -1)
}

// meanWorkWeight is the weight of one request in the exponentially smoothed mean of work per request.
const meanWorkWeight = 1.0 / 64

func (p *Pool) updateMeanWork(request *Request) {
	updateMean(&p.meanWork, request.Work)
	if request.Urgent {
		updateMean(&p.meanUrgent, request.Work)
	}
}

func updateMean(mean *float64, work float64) {
	if *mean == 0 {
		*mean = work
		return
	}
	*mean += (work - *mean) * meanWorkWeight
}

func addWork(r *replica, request *Request, sign float64) {
	r.work = max(r.work+sign*request.Work, 0)
	if request.Urgent {
		r.urgentWork = max(r.urgentWork+sign*request.Work, 0)
	}
	if r.inFlight == 0 {
		r.work, r.urgentWork = 0, 0 // prevents rounding errors from accumulating
	}
}

// updateSmoothed moves the smoothed request count towards the present one, with ReportLag as the time constant.
func (p *Pool) updateSmoothed(r *replica, now time.Duration) {
	if now > r.smoothedAt {
		share := 1 - math.Exp(-float64(now-r.smoothedAt)/float64(p.settings.ReportLag))
		r.smoothed += (float64(r.inFlight) - r.smoothed) * share
		r.smoothedAt = now
	}
}

// outlierFactor bounds the foreign requests that one replica reports. The bound is this multiple of the sum of the mean
// of the other replicas' reports, this gateway's requests at the replica, and outlierFloor. A wrong report can thus
// make a replica look at most about this much busier than the others.
const outlierFactor = 8

// Report applies a replica's load report. An invalid number of requests (negative, NaN or infinite) is ignored. The
// rest of the report still counts.
func (p *Pool) Report(name string, report LoadReport, now time.Duration) {
	i := p.Index(name)
	if i < 0 {
		return
	}
	r := &p.replicas[i]
	r.wasPolled, r.missedReports = true, 0
	r.setLeaving(SourceLoadReport, report.Leaving)
	if !report.Leaving && now >= r.refusalExpiresAt {
		r.setLeaving(SourceRefusal, false)
	}
	if !(report.Requests >= 0) || math.IsInf(report.Requests, 0) {
		return
	}
	p.updateSmoothed(r, now)
	if r.hasReport {
		p.foreignSum -= r.foreignRequests
	} else {
		p.reporterCount++
	}
	r.foreignRequests = max(report.Requests-r.smoothed, 0)
	r.reportedAt, r.hasReport = now, true
	p.foreignSum += r.foreignRequests
}

// estimateForeignWork estimates the work, in tokens, that other gateways have in flight at a replica. As a report
// ages, the estimate moves to the pool's mean, so that a replica that stopped reporting looks neither idle nor
// overloaded.
func (p *Pool) estimateForeignWork(r *replica, now time.Duration) float64 {
	if p.reporterCount == 0 {
		return 0
	}
	mean := max(p.foreignSum, 0) / float64(p.reporterCount)
	if !r.hasReport {
		return mean * p.meanWork
	}
	freshness := 1 - float64(now-r.reportedAt)/float64(p.settings.ReportLife)
	freshness = min(max(freshness, 0), 1)
	othersMean := 0.0
	if p.reporterCount > 1 {
		othersMean = max(p.foreignSum-r.foreignRequests, 0) / float64(p.reporterCount-1)
	}
	foreignRequests := r.foreignRequests
	if p.reporterCount > 1 {
		foreignRequests = min(foreignRequests, outlierFactor*(othersMean+float64(r.inFlight)+outlierFloor))
	}
	return (mean + (foreignRequests-mean)*freshness) * p.meanWork
}

// outlierFloor is added to the load that bounds a report, so that a report of a few foreign requests is accepted even
// when the rest of the pool is idle.
const outlierFloor = 2
