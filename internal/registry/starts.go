package registry

// canRecordStarts reports whether the starts of replicas may be recorded. An error means that this is not known yet.
func (s *Service) canRecordStarts() (bool, error) {
	if s.config.Starts == nil {
		return true, nil
	}
	return s.config.Starts()
}

// stripUnrecordableStart returns a heartbeat without its start if starts may not be recorded. Builds that do not
// understand starts would reject the change, and their table would differ from that of the builds that do.
func (s *Service) stripUnrecordableStart(heartbeat *Registration) (*Registration, error) {
	recorded, err := s.canRecordStarts()
	if err != nil || recorded || heartbeat.Start == 0 {
		return heartbeat, err
	}
	without := *heartbeat
	without.Start = 0
	return &without, nil
}
