/*
 * Forming a group from seeds (state/quorum form.go): seeds that start with empty folders ask each other who they are, write
 * the list of initial voters once all have answered, and follow a seed that belongs to a group already.
 *
 * Bounds: three seeds, WIPES lost folders. A folder has an identity of its own, the seed's number and how often it was lost.
 * An answer is what a seed was when it was asked; it is used at any later moment.
 * The first leader of a group needs all its initial voters, a later one a majority; see consensus.pml for the latter.
 *
 * Promise: no two groups of one system ever have a leader.
 *
 * Each M_ macro is a deliberate fault that must be found.
 */
#ifndef WIPES
#define WIPES 1
#endif
#define N 3
#define NONE 255

/* A group is named by its initial voters: two bits for each seed hold how often its folder had been lost, or NOT_IN. */
#define NOT_IN 3
#define SHIFT(i) (2 * (i))
#define MEMBER(g, i) (((g) >> SHIFT(i)) & 3)

byte lost[N];       /* folders lost so far: the identity of the seed's present folder */
short group[N];     /* initial voters of the seed's group; -1: none yet */
bool joined[N];     /* it follows the group as a new member, without a vote */
byte heard[N * N];  /* identity that seed i was told by seed j; NONE: not asked yet */
byte wipes;
short led = -1;     /* the group that had a leader first */

#define HEARD(i, j) heard[(i) * N + (j)]
#define FORMED(g, i) (group[i] == (g) && !joined[i] && lost[i] == MEMBER(g, i))
#define ONE(g, i) (FORMED(g, i) -> 1 : 0)
#define VOTERS(g) (ONE(g, 0) + ONE(g, 1) + ONE(g, 2))
#define SIZE(g) ((MEMBER(g, 0) != NOT_IN -> 1 : 0) + (MEMBER(g, 1) != NOT_IN -> 1 : 0) + (MEMBER(g, 2) != NOT_IN -> 1 : 0))

#ifdef M_FIRST_LEADER_BY_MAJORITY
#define MAY_LEAD(g) (2 * VOTERS(g) > SIZE(g))
#else
#define MAY_LEAD(g) (VOTERS(g) == SIZE(g))
#endif

inline clear_heard(i)
{
	HEARD(i, 0) = NONE; HEARD(i, 1) = NONE; HEARD(i, 2) = NONE;
	HEARD(i, i) = lost[i]
}

/* formWith: a seed asks another one. One that belongs to a group is followed (adopt). */
inline ask(i, j)
{
	if
	:: group[j] >= 0 ->
		group[i] = group[j];
		joined[i] = (MEMBER(group[j], i) != lost[i])
	:: else -> HEARD(i, j) = lost[j]
	fi
}

#define PART(i, j) ((HEARD(i, j) == NONE -> NOT_IN : HEARD(i, j)) << SHIFT(j))

inline form(i)
{
	group[i] = PART(i, 0) + PART(i, 1) + PART(i, 2);
	joined[i] = false
}

#define ALL_HEARD(i) (HEARD(i, 0) != NONE && HEARD(i, 1) != NONE && HEARD(i, 2) != NONE)
#ifdef M_FORM_WITHOUT_ALL
#define MAY_FORM(i) (true)
#else
#define MAY_FORM(i) (ALL_HEARD(i))
#endif

inline lose(i)
{
	wipes++;
	lost[i]++;
	group[i] = -1;
	joined[i] = false;
	clear_heard(i)
}

inline lead(i)
{
	assert(led == -1 || led == group[i]); /* one_group */
	led = group[i]
}

active proctype system()
{
	byte i, j;
	d_step {
		for (i : 0 .. N - 1) {
			group[i] = -1;
			clear_heard(i)
		}
	}
	do
	:: select (i : 0 .. N - 1);
		select (j : 0 .. N - 1);
		atomic {
			if
			:: i != j && group[i] < 0 && HEARD(i, j) == NONE -> d_step { ask(i, j) }
			:: group[i] < 0 && MAY_FORM(i) -> d_step { form(i) }
			:: wipes < WIPES -> d_step { lose(i) }
			:: group[i] >= 0 && !joined[i] && MAY_LEAD(group[i]) -> lead(i)
			:: else -> skip
			fi
		}
	od
}
