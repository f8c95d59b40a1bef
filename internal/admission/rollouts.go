package admission

import "math"

// headroomDivisor limits the headroom to the number of slots divided by it.
const headroomDivisor = 32

// rolloutHeadroom returns the number of free slots that rollouts leave for the next arrivals of other requests. It is
// the square root of the number of those in flight, which is their usual variation. Without headroom a rollout takes
// each slot that becomes free and is preempted a moment later, and its work is computed again elsewhere.
func (q *Queue) rolloutHeadroom() int {
	return min(int(math.Sqrt(float64(len(q.running)-q.runningRollouts))), q.limits.Slots/headroomDivisor)
}

// waitingNonRollouts returns the number of waiting requests that are not rollouts.
func (q *Queue) waitingNonRollouts() int { return q.queued - q.queuedRollouts }

// canPreemptFor reports whether a running rollout is left that can be preempted for the request.
func (q *Queue) canPreemptFor(request *Request) bool {
	return !request.Rollout && len(q.preemptible) > q.waitingNonRollouts()
}

// preemptRollouts preempts running rollouts until the given number of slots is being given back, including rollouts
// that were preempted earlier and still run. It preempts the newest ones first, because they lose the least work.
func (q *Queue) preemptRollouts(slots int) {
	for i := len(q.preemptible) - 1; i >= 0 && q.preemptedCount < slots; i-- {
		victim := q.running[q.preemptible[i]]
		if victim.preempted {
			continue
		}
		victim.preempted = true
		q.preemptedCount++
		q.effects.Preempted = append(q.effects.Preempted, victim.request.ID)
	}
}
