package administrator

import "github.com/redwingshunt/redwingshunt/recorder"

// RecorderLogs reads the state of the logs from a recorder.
type RecorderLogs struct {
	Recorder *recorder.Recorder
}

// Logs implements LogReader.
func (r RecorderLogs) Logs() []LogStatus {
	logs := []LogStatus{}
	for _, g := range r.Recorder.Status().Groups {
		logs = append(logs, describeGroup(g))
	}
	return logs
}

// describeGroup converts the status of a group to that of the API.
func describeGroup(g recorder.GroupStatus) LogStatus {
	status := LogStatus{
		Group: g.Group, Role: string(g.Role), Leader: g.Leader, Term: g.Term, Commit: g.Commit,
		Last: g.Last, Pending: g.Pending, Lost: g.Lost, Members: []LogMember{},
	}
	for _, m := range g.Members {
		status.Members = append(status.Members, LogMember{Instance: m.Instance, Voter: m.Voter, Alive: m.Alive, Lag: m.Lag})
	}
	return status
}
