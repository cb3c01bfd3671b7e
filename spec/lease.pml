/*
 * Authority over an upstream that ignores fences: lease, handover and orders (docs/design.md 6.8, docs/protocol.md).
 *
 * Bounds: true time 0 to HORIZON, three grants, two holders whose clocks differ by 0 or DRIFT (one clock is the true
 * time, since only the difference matters); leases of TTL for orders that take up to ORDER including their way, and
 * leases of 1 for orders that take no time.
 * Answers of the group are delivered late or never; requests are applied late because the group's time is the highest
 * time that any request carried. A holder that is silently partitioned keeps its lease until its own clock says that it
 * has ended. With -DCHECKS the upstream refuses old fences and orders are delayed without bound.
 *
 * Each M_ macro is a deliberate fault that must be found.
 */
#define DRIFT 2
#define ORDER 2
#define TTL 2
#ifndef HORIZON
#define HORIZON 7
#endif
#define MAX(a, b) ((a) > (b) -> (a) : (b))

byte now, skew[2];
/* The group: rstate.Lease. holder is an index plus 1. */
byte gnow, fence, holder, expires, not_before;
byte longest[4]; /* of each fence: the longest time of an order */
/* Answers on their way to a holder, and what the holder has received. */
byte a_fence[2], a_expires[2];
byte h_fence[2], h_expires[2];
bool issued[2]; /* an issued order whose answer is on its way */
byte issued_fence[2];
/* The upstream. An order runs until busy_until under the fence busy_fence. */
byte busy_until, busy_fence, highest;
bool flying[2];
byte flying_fence[2];

#define CLOCK(i) (now + skew[i])

#ifdef M_NO_DRIFT
#define QUIET (expires + longest[fence])
#else
#ifdef M_NO_ORDER_TIME
#define QUIET (expires + DRIFT)
#else
#define QUIET (expires + DRIFT + longest[fence])
#endif
#endif

inline grant(i, ttl, order)
{
	if
	:: fence == 0 -> not_before = gnow
#ifdef CHECKS
	:: else -> not_before = gnow
#else
#ifdef M_NO_WAIT
	:: else -> not_before = gnow
#else
#ifdef M_CHAIN_FORGETS
	:: else -> not_before = MAX(gnow, QUIET)
#else
	:: else -> not_before = MAX(not_before, MAX(gnow, QUIET))
#endif
#endif
#endif
	fi;
	fence++;
	longest[fence] = order;
	holder = i + 1;
	expires = gnow + ttl;
	a_fence[i] = fence;
	a_expires[i] = expires
}

proctype process(byte i)
{
end:	do
	/* AcquireLease: rstate.State.acquireLease */
	:: d_step { fence < 3 && (holder == 0 || MAX(gnow, CLOCK(i)) >= expires) ->
		gnow = MAX(gnow, CLOCK(i)); grant(i, TTL, ORDER) }
	:: d_step { fence < 3 && (holder == 0 || MAX(gnow, CLOCK(i)) >= expires) ->
		gnow = MAX(gnow, CLOCK(i)); grant(i, 1, 0) }
	/* RenewLease: rstate.State.renewLease */
	:: d_step { h_fence[i] != 0 &&
#ifdef M_RENEW_LOST
		holder != 0 &&
#else
		holder == i + 1 && h_fence[i] == fence &&
#endif
		MAX(gnow, CLOCK(i)) < expires && CLOCK(i) + TTL > expires ->
		gnow = MAX(gnow, CLOCK(i)); expires = MAX(expires, gnow + TTL); a_expires[i] = expires }
	/* ReleaseLease: rstate.State.releaseLease. The holder stops before it sends the request. */
	:: d_step { h_fence[i] != 0 && holder == i + 1 && h_fence[i] == fence && MAX(gnow, CLOCK(i)) < expires ->
		gnow = MAX(gnow, CLOCK(i)); expires = gnow; h_fence[i] = 0; h_expires[i] = 0; a_fence[i] = 0; issued[i] = 0 }
	/* An answer arrives. */
	:: d_step { a_fence[i] != 0 && (a_fence[i] != h_fence[i] || a_expires[i] != h_expires[i]) ->
		h_fence[i] = a_fence[i]; h_expires[i] = a_expires[i] }
	/* RecordOrder: rstate.State.recordOrder */
	:: d_step { !issued[i] && h_fence[i] != 0 && holder == i + 1 && h_fence[i] == fence &&
		MAX(gnow, CLOCK(i)) < expires && MAX(gnow, CLOCK(i)) >= not_before ->
		gnow = MAX(gnow, CLOCK(i)); issued[i] = 1; issued_fence[i] = fence }
	/* The answer arrives, and the holder sends the order if its own clock is before the end of its lease. */
#ifdef M_NO_CLOCK_CHECK
	:: d_step { issued[i] ->
#else
	:: d_step { issued[i] && CLOCK(i) < h_expires[i] && issued_fence[i] == h_fence[i] ->
#endif
		issued[i] = 0;
#ifdef CHECKS
		flying[i] = 1; flying_fence[i] = issued_fence[i]
#else
		assert(busy_until <= now || busy_fence == issued_fence[i]);
		busy_until = now + longest[issued_fence[i]];
		busy_fence = issued_fence[i]
#endif
	}
	od
}

#ifdef CHECKS
inline arrive()
{
	if
#ifndef M_NO_FENCE
	:: flying_fence[i] < highest -> skip
#endif
	:: else -> assert(flying_fence[i] >= highest); highest = flying_fence[i]
	fi;
	flying_fence[i] = 0;
	i = 0
}

/* An upstream that checks fences carries out an order only if no higher fence came before. */
active proctype upstream()
{
	byte i;
end:	do
	:: d_step { flying[0] -> flying[0] = 0; i = 0; arrive() }
	:: d_step { flying[1] -> flying[1] = 0; i = 1; arrive() }
	od
}
#endif

init {
	atomic {
		if
		:: skew[1] = 0
		:: skew[1] = DRIFT
		fi;
		run process(0);
		run process(1)
	}
end:	do
	:: d_step { now < HORIZON -> now++ }
	od
}
