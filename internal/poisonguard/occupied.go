package poisonguard

// addSuspectRuns changes the number of suspects that this process runs at a back end.
func (g *Guard) addSuspectRuns(instance string, difference int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.suspectRuns[instance] += difference
	if g.suspectRuns[instance] == 0 {
		delete(g.suspectRuns, instance)
	}
}

// Occupied returns the instances of the back ends at which this process runs suspects. A further suspect should run
// elsewhere, so that a crash identifies its cause.
func (g *Guard) Occupied() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	occupied := make([]string, 0, len(g.suspectRuns))
	for instance := range g.suspectRuns {
		occupied = append(occupied, instance)
	}
	return occupied
}
