/*
 * The ledger of work that may not repeat: claim, dispatch, settle, abandon (docs/design.md 6.7, docs/protocol.md).
 *
 * Bounds: one key, three tokens. Each token is one attempt of a node; a node that crashes forgets its tokens. The group
 * is one process, because agreement is checked by consensus.pml. A message is a flag that stays set once it was sent,
 * and may be applied at any later moment, any number of times or never: loss, repetition and reordering. A node that is
 * silently partitioned is one whose messages are not applied. Time is a set of moments that pass in any order that the
 * clocks allow: the dispatch deadline of each token, and the end of the key's retention.
 *
 * Each M_ macro is a deliberate fault that must be found.
 */
#define T 3

mtype = { idle, open, dispatched, discarded, crashed };
mtype node[T] = idle;

/* Messages in the network. */
bool claim_sent[T], granted_sent[T], abandon_sent[T], ran_sent[T], not_started_sent[T];
/* The upstream's side of a dispatch. */
bool arriving[T], ran[T], refused[T];
/* The group. holder is a token plus 1. A record that was dropped leaves only the horizon. */
byte holder;
bool settled, horizon, tombstone[T], deadline[T], abandoned[T];
/* What callers were told, and what happened. */
bool told_not_run[T];
byte runs;

inline check_not_run(t) { assert(!(told_not_run[t] && (ran[t] || arriving[t]))) }

/* Group: rstate.State.claim */
inline apply_claim(t)
{
	d_step {
		if
#ifndef M_NO_HORIZON
		:: horizon -> skip
#endif
#ifndef M_NO_TOMBSTONE
		:: else -> if
		:: tombstone[t] -> skip
#else
		:: else -> if
#endif
		:: else -> if
			:: holder == 0 -> if
				:: deadline[t] -> skip          /* refused: the dispatch deadline has passed */
				:: else -> assert(!abandoned[t]); holder = t + 1; granted_sent[t] = 1
				fi
			:: holder == t + 1 && !settled && !deadline[t] -> granted_sent[t] = 1
#ifdef M_REGRANT_UNKNOWN
			:: holder != 0 && holder != t + 1 && !settled && deadline[holder - 1] -> holder = t + 1; granted_sent[t] = 1
#endif
			:: else -> skip                     /* in_progress, unknown or settled */
			fi
		fi
		fi
	}
}

/* Group: rstate.State.abandon */
inline apply_abandon(t)
{
	d_step {
		if
		:: holder == t + 1 && settled -> skip
		:: else ->
			if
			:: holder == t + 1 -> holder = 0
			:: else -> skip
			fi;
			tombstone[t] = 1;
			abandoned[t] = 1
		fi
	}
}

/* Group: rstate.State.settle */
inline apply_settle(t, not_started)
{
	d_step {
		if
#ifdef M_SETTLE_BY_ANY
		:: holder != 0 && !settled ->
#else
		:: holder == t + 1 && !settled ->
#endif
			if
			:: not_started -> holder = 0; tombstone[t] = 1
			:: else -> settled = 1
			fi
		:: else -> skip
		fi
	}
}

active proctype group()
{
	byte t;
end:	do
	:: atomic { claim_sent[0] -> apply_claim(0) }
	:: atomic { claim_sent[1] -> apply_claim(1) }
	:: atomic { claim_sent[2] -> apply_claim(2) }
	:: atomic { abandon_sent[0] -> apply_abandon(0) }
	:: atomic { abandon_sent[1] -> apply_abandon(1) }
	:: atomic { abandon_sent[2] -> apply_abandon(2) }
	:: atomic { ran_sent[0] -> apply_settle(0, false) }
	:: atomic { ran_sent[1] -> apply_settle(1, false) }
	:: atomic { ran_sent[2] -> apply_settle(2, false) }
	:: atomic { not_started_sent[0] -> apply_settle(0, true) }
	:: atomic { not_started_sent[1] -> apply_settle(1, true) }
	:: atomic { not_started_sent[2] -> apply_settle(2, true) }
	/* The group's time passes a dispatch deadline. */
	:: atomic { !deadline[0] -> deadline[0] = 1 }
	:: atomic { !deadline[1] -> deadline[1] = 1 }
	:: atomic { !deadline[2] -> deadline[2] = 1 }
	/* The retention of the key ends: the record is dropped, the horizon stays. */
	:: atomic { !horizon -> horizon = 1; holder = 0; settled = 0 }
	/* Tombstones are dropped after the deadline of any claim of their token. */
#ifdef M_TOMBSTONE_EARLY
	:: atomic { tombstone[0] -> tombstone[0] = 0 }
#else
	:: atomic { tombstone[0] && deadline[0] -> tombstone[0] = 0 }
	:: atomic { tombstone[1] && deadline[1] -> tombstone[1] = 0 }
	:: atomic { tombstone[2] && deadline[2] -> tombstone[2] = 0 }
#endif
	od
}

proctype entry(byte t)
{
end:	do
	:: atomic { node[t] == idle -> node[t] = open; claim_sent[t] = 1 }
	/* The holder dispatches once, whenever the answer arrives. */
	:: atomic { node[t] == open && granted_sent[t] -> node[t] = dispatched; arriving[t] = 1 }
#ifdef M_DISPATCH_TWICE
	:: atomic { node[t] == dispatched && granted_sent[t] && !arriving[t] -> arriving[t] = 1 }
#endif
#ifdef M_DISCARD_KEEPS_TOKEN
	:: atomic { node[t] == discarded && granted_sent[t] -> node[t] = dispatched; arriving[t] = 1; check_not_run(t) }
#endif
	/* It gives up before the dispatch: the caller may be told that nothing ran. */
	:: atomic { node[t] == open -> node[t] = discarded; abandon_sent[t] = 1; told_not_run[t] = 1 }
	/* The upstream answers. */
	:: atomic { node[t] == dispatched && ran[t] -> ran_sent[t] = 1 }
	:: atomic { node[t] == dispatched && refused[t] && !ran[t] ->
		not_started_sent[t] = 1; told_not_run[t] = 1; node[t] = discarded; check_not_run(t) }
#ifdef M_NOT_RUN_AFTER_TIMEOUT
	:: atomic { node[t] == dispatched && !ran[t] -> told_not_run[t] = 1; check_not_run(t) }
#endif
	:: atomic { node[t] != crashed -> node[t] = crashed }
#ifdef M_RESTART_REUSES_TOKEN
	:: atomic { node[t] == crashed && claim_sent[t] && !arriving[t] -> node[t] = open }
#endif
	od
}

/* The upstream runs an arriving call, or proves that it did not start. It may do so long after the node has gone. */
active proctype upstream()
{
end:	do
	:: atomic { arriving[0] -> arriving[0] = 0; ran[0] = 1; runs++; check_not_run(0); assert(runs <= 1) }
	:: atomic { arriving[1] -> arriving[1] = 0; ran[1] = 1; runs++; check_not_run(1); assert(runs <= 1) }
	:: atomic { arriving[2] -> arriving[2] = 0; ran[2] = 1; runs++; check_not_run(2); assert(runs <= 1) }
	:: atomic { arriving[0] -> arriving[0] = 0; refused[0] = 1 }
	:: atomic { arriving[1] -> arriving[1] = 0; refused[1] = 1 }
	:: atomic { arriving[2] -> arriving[2] = 0; refused[2] = 1 }
	od
}

init { atomic { run entry(0); run entry(1); run entry(2) } }
