package stage

import "time"

// group holds the waiting pieces of one stage of a request. They are sorted as one unit, because a request may have
// dozens of pieces and a burst queues thousands.
type group struct {
	jobs  []Job // in insertion order
	bytes int64 // total size of the results

	// Sort keys, updated by each call to Next.
	class int
	order int // within the class
	late  bool
	added time.Time // arrival of the first job
}

func (g *group) first() *Job { return &g.jobs[0] }

// accepts reports whether a job belongs to the group.
func (g *group) accepts(j Job) bool {
	f := g.first()
	return f.Request == j.Request && f.Stage == j.Stage && f.Rank == j.Rank && f.Order == j.Order && f.Home == j.Home && f.Due.Equal(j.Due)
}

// enqueue adds a job to its group, creating the group if needed.
func (q *Queue) enqueue(j Job) {
	q.waiting++
	for _, g := range q.byRequest[j.Request] {
		if g.accepts(j) {
			g.jobs = append(g.jobs, j)
			g.bytes += j.Bytes
			return
		}
	}
	g := &group{jobs: []Job{j}, bytes: j.Bytes, added: j.added}
	q.groups = append(q.groups, g)
	q.byRequest[j.Request] = append(q.byRequest[j.Request], g)
}

// filterGroups removes the groups for which wanted returns false.
func (q *Queue) filterGroups(wanted func(*group) bool) {
	out := q.groups[:0]
	for _, g := range q.groups {
		if wanted(g) {
			out = append(out, g)
			continue
		}
		q.waiting -= len(g.jobs)
		q.removeFromIndex(g)
	}
	clear(q.groups[len(out):])
	q.groups = out
}

func (q *Queue) removeFromIndex(g *group) {
	request := g.first().Request
	list := q.byRequest[request]
	for i, other := range list {
		if other == g {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(q.byRequest, request)
		return
	}
	q.byRequest[request] = list
}

// takeJobs removes the first n jobs of a group and returns them. The caller removes a group that is left empty.
func (q *Queue) takeJobs(g *group, n int) []Job {
	out := g.jobs[:n:n]
	for _, j := range out {
		g.bytes -= j.Bytes
	}
	q.waiting -= n
	g.jobs = g.jobs[n:]
	return out
}
