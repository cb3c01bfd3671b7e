package stage

// DataCentreFor returns the data centre in which the pieces of a stage move the fewest bytes between data centres. Each piece reads
// all results of the stages before it: sixteen pieces that read eight results of 60 kB move 7.7 MB if they run elsewhere, while
// their own results may have 6 kB each. engine is the data centre of the request's model engine, which reads the results of the
// terminal stages. dataCentreOf returns that of the upstream that keeps a result, or "" if it is not known.
func (p *Plan) DataCentreFor(stage int, engine string, dataCentreOf func(upstream string) string) string {
	pieces := int64(len(p.pieces[stage]))
	bytes := map[string]int64{engine: pieces * p.stages[stage].ResultBytes}
	for _, a := range p.stages[stage].After {
		for _, x := range p.pieces[a] {
			if at := dataCentreOf(x.upstream); at != "" {
				bytes[at] += pieces * p.stages[a].ResultBytes
			}
		}
	}
	best := engine
	for at, n := range bytes {
		if n > bytes[best] || n == bytes[best] && at < best && best != engine {
			best = at
		}
	}
	return best
}
