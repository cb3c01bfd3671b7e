/*
 * The repair of a group by its leader (state/quorum repair.go, Decide): voters that lost their folder are removed, silent ones
 * make room for a waiting member, and waiting members get a vote while the number of voters is below WANTED and stays odd.
 *
 * Bounds: a group is the number of its members of each kind, at most MOST members besides the leader. A member may die or
 * fall silent at any moment; the leader notices the silence of voters only later, and that of a waiting member never in
 * time. consensus.pml shows that one change at a time keeps one leader for each term.
 *
 * Promise: a change leaves a majority of voters that answer, even if the member that it concerns has just died, unless the
 * group is a single voter.
 *
 * Each M_ macro is a deliberate fault that must be found.
 */
#ifndef WANTED
#define WANTED 5
#endif
#ifndef MOST
#define MOST 6
#endif

byte live = 1;   /* voters that answer, the leader included */
byte silent;     /* voters that the leader has not heard for long */
byte lost;       /* voters whose folder is gone */
byte waiting;    /* members without a vote that answered lately */

#define HAVE (live + silent + lost)
#define MAJORITY(l, h) (2 * (l) > (h))

#ifdef M_PAIR_WITH_SILENT
#define PAIR (waiting >= 2 && HAVE + 2 <= WANTED)
#else
#define PAIR (waiting >= 2 && HAVE + 2 <= WANTED && (HAVE == 1 || MAJORITY(live, HAVE + 1)))
#endif
#ifdef M_VOTE_AT_ONCE
#define MAY_VOTE (HAVE < WANTED)
#else
#define MAY_VOTE (HAVE < WANTED && (HAVE % 2 == 0 || PAIR))
#endif

inline decide()
{
	if
	:: lost > 0 -> lost--
	:: else ->
		if
		:: waiting > 0 && MAY_VOTE ->
			assert(HAVE == 1 || MAJORITY(live, HAVE + 1)); /* vote_not_needed */
			waiting--;
			live++
#ifdef M_NEW_LEADER_HEARD_NONE
		:: waiting > 0 && !MAY_VOTE && live > 1 ->
			live--; /* a voter that answers, but has not been asked by this leader yet */
			assert(MAJORITY(live, HAVE)) /* still_majority */
#endif
		:: waiting > 0 && !MAY_VOTE && silent > 0 ->
			silent--;
			assert(MAJORITY(live, HAVE)) /* still_majority */
		:: else
		fi
	fi
}

active proctype system()
{
end:	do
	:: HAVE + waiting <= MOST -> waiting++          /* a member joins, or comes back with an empty folder */
	:: live > 1 -> live--; silent++                 /* a voter falls silent */
	:: live > 1 -> live--; lost++                   /* a voter loses its folder */
	:: silent > 0 -> silent--; live++               /* it is heard again */
	:: waiting > 0 -> waiting--                     /* a waiting member dies */
	:: MAJORITY(live, HAVE) -> atomic { decide() }
	od
}
