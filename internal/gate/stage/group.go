package stage

import "time"

// group holds the pieces of one stage of a request that wait. They stand in the order as one: a request may have dozens of
// pieces, and in a burst a queue holds thousands.
type group struct {
	jobs  []Job // in the order in which they were added
	bytes int64 // of all their results

	// Keys of the order, as of the last call of Next.
	class int
	late  bool
	added time.Time // when the first of them came
}

func (g *group) first() *Job { return &g.jobs[0] }

// fits reports whether a job belongs to the group.
func (g *group) fits(j Job) bool {
	f := g.first()
	return f.Request == j.Request && f.Stage == j.Stage && f.Rank == j.Rank && f.Home == j.Home && f.Due.Equal(j.Due)
}

// push adds a job to its group.
func (q *Queue) push(j Job) {
	q.waiting++
	for _, g := range q.byRequest[j.Request] {
		if g.fits(j) {
			g.jobs = append(g.jobs, j)
			g.bytes += j.Bytes
			return
		}
	}
	g := &group{jobs: []Job{j}, bytes: j.Bytes, added: j.added}
	q.groups = append(q.groups, g)
	q.byRequest[j.Request] = append(q.byRequest[j.Request], g)
}

// keep drops the groups for which the function returns false.
func (q *Queue) keep(wanted func(*group) bool) {
	out := q.groups[:0]
	for _, g := range q.groups {
		if wanted(g) {
			out = append(out, g)
			continue
		}
		q.waiting -= len(g.jobs)
		q.unlink(g)
	}
	clear(q.groups[len(out):])
	q.groups = out
}

func (q *Queue) unlink(g *group) {
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

// take removes the first n jobs of a group and returns them. A group without jobs is dropped by the caller.
func (q *Queue) take(g *group, n int) []Job {
	out := g.jobs[:n:n]
	for _, j := range out {
		g.bytes -= j.Bytes
	}
	q.waiting -= n
	g.jobs = g.jobs[n:]
	return out
}
