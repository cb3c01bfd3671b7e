package engine

// Parameters of fetching parts of prompts from other engines.
const (
	fetchCost  = 0.7  // of a token that is fetched, against one that is read
	fetchLeast = 1000 // tokens; the request for fewer costs more than reading them
)

// fetchable returns how many of the first shared parts of a prompt some engine has read.
func (p *Placer) fetchable(chains []string) int {
	most := 0
	if !p.fetch {
		return 0
	}
	for _, t := range p.targets {
		if t.present && !t.Avoid {
			most = max(most, t.readParts(chains))
		}
	}
	return most
}

// readParts returns how many of the first shared parts of a prompt the engine has read; the last part is not shared.
func (t *target) readParts(chains []string) int {
	n := 0
	for n < len(chains)-1 && t.parts[chains[n]] != nil && t.parts[chains[n]].read {
		n++
	}
	return n
}

// source returns the engine from which another one should fetch shared parts that it lacks, and their tokens; "" for none. Of
// several, the one with the fewest requests serves best.
func (p *Placer) source(at *target, r Request, chains []string) (string, int) {
	if !p.fetch {
		return "", 0
	}
	have := 0
	for have < len(chains)-1 && at.parts[chains[have]] != nil {
		have++
	}
	var best *target
	gain := 0
	for _, t := range p.targets {
		if t == at || !t.present || t.Avoid || t.fails > 0 {
			continue
		}
		tokens := 0
		for i := have; i < t.readParts(chains); i++ {
			tokens += r.Parts[i].Tokens
		}
		if tokens < fetchLeast || tokens < gain {
			continue
		}
		if best == nil || tokens > gain || len(t.tickets) < len(best.tickets) || len(t.tickets) == len(best.tickets) && t.ID < best.ID {
			best, gain = t, tokens
		}
	}
	if best == nil {
		return "", 0
	}
	return best.ID, gain
}
