package metrics

// maxModels is the maximum number of models with their own label value. The others have
// otherModel.
const (
	maxModels  = 16
	otherModel = "Other"
)

// Trainer is what the trainers of one model have of a daemon.
type Trainer struct {
	// Running is the number of their items that the daemon runs.
	Running int
	// Share is the number of the daemon's slots that they are guaranteed, 0 if fewer than
	// two trainers have open steps.
	Share float64
	// StepsLate is the number of open steps that start after those that can be on time.
	StepsLate int
}

// Trainers sets the gauges of the trainers, by model. Those of models that are not in t are
// set to zero.
func (m *Metrics) Trainers(t map[string]Trainer) {
	if m.scope == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	sums := make(map[string]Trainer)
	for model := range m.models {
		sums[model] = Trainer{}
	}
	for model, x := range t {
		label := m.modelLabel(model)
		sum := sums[label]
		sums[label] = Trainer{Running: sum.Running + x.Running, Share: sum.Share + x.Share, StepsLate: sum.StepsLate + x.StepsLate}
	}
	for label, x := range sums {
		s := m.scope.Tagged(map[string]string{tagModel: label})
		s.Gauge(string(StepsLate)).Update(float64(x.StepsLate))
		s.Gauge(string(TrainerRunning)).Update(float64(x.Running))
		s.Gauge(string(TrainerShare)).Update(x.Share)
		borrowed := 0.0
		if x.Share > 0 {
			borrowed = max(0, float64(x.Running)-x.Share)
		}
		s.Gauge(string(TrainerBorrowed)).Update(borrowed)
	}
}

// modelLabel returns the label value of a model. It is called with the mutex held.
func (m *Metrics) modelLabel(model string) string {
	if m.models == nil {
		m.models = make(map[string]bool)
	}
	if !m.models[model] && len(m.models) >= maxModels {
		model = otherModel
	}
	m.models[model] = true
	return model
}
