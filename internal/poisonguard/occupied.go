package poisonguard

// count counts the suspects that this process runs at a back end.
func (g *Guard) count(instance string, by int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.beside[instance] += by
	if g.beside[instance] == 0 {
		delete(g.beside, instance)
	}
}

// Occupied are the back ends at which this process runs suspects: another one is better run elsewhere, so that a crash tells which of
// them it was.
func (g *Guard) Occupied() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	occupied := make([]string, 0, len(g.beside))
	for instance := range g.beside {
		occupied = append(occupied, instance)
	}
	return occupied
}
