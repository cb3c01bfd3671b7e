/*
 * The highest version is in force (state/vdoc, gate/poller, gate/ctlsrv): operators send whole configurations under versions of
 * their choice, several at once and again and again; the group orders them; each member applies them at its own pace and
 * tells entry nodes.
 *
 * Bounds: LENGTH commands, versions 1 to 3, two contents, two members, two entry nodes. The log is the one that the group has
 * committed (consensus.pml). A member may restart from its last snapshot and apply again what followed.
 *
 * Promises: one content for each version, wherever it is in force; the version in force at an entry node never goes back; a
 * read returns at least each version that was acknowledged before it.
 *
 * Each M_ macro is a deliberate fault that must be found.
 */
#ifndef LENGTH
#define LENGTH 3
#endif
#define MEMBERS 2
#define ENTRIES 2

/* The committed log. */
byte log_version[LENGTH], log_content[LENGTH];
byte committed;
byte acknowledged; /* highest version that an operator was told is stored */
/* Each member. */
byte applied[MEMBERS], version[MEMBERS], content[MEMBERS];
byte snap_applied[MEMBERS], snap_version[MEMBERS], snap_content[MEMBERS];
/* Each entry node. */
byte in_force[ENTRIES], in_content[ENTRIES];
byte first_content[4]; /* the content that was first in force under a version; 0: none */

#ifdef M_LAST_WINS
#define REPLACES(new, old) (true)
#else
#ifdef M_EQUAL_REPLACES
#define REPLACES(new, old) ((new) >= (old))
#else
#define REPLACES(new, old) ((new) > (old))
#endif
#endif

#ifdef M_ENTRY_TAKES_ANY
#define TAKES(new, old) ((new) != (old))
#else
#define TAKES(new, old) ((new) > (old))
#endif

inline apply(m)
{
	if
	:: REPLACES(log_version[applied[m]], version[m]) ->
		version[m] = log_version[applied[m]];
		content[m] = log_content[applied[m]]
	:: else
	fi;
	applied[m]++
}

inline tell(m, e)
{
	if
	:: version[m] > 0 && TAKES(version[m], in_force[e]) ->
		assert(version[m] >= in_force[e]); /* never_back */
		in_force[e] = version[m];
		in_content[e] = content[m];
		if
		:: first_content[version[m]] == 0 -> first_content[version[m]] = content[m]
		:: else
		fi;
		assert(first_content[version[m]] == content[m]) /* one_content */
	:: else
	fi
}

#ifdef M_READ_WITHOUT_INDEX
#define MAY_READ(m) (true)
#else
#define MAY_READ(m) (applied[m] == committed)
#endif

active proctype system()
{
	byte i, j, v, c;
	do
	:: select (i : 0 .. MEMBERS - 1);
		select (j : 0 .. ENTRIES - 1);
		atomic {
			if
			:: committed < LENGTH ->
				select (v : 1 .. 3);
				select (c : 1 .. 2);
				log_version[committed] = v;
				log_content[committed] = c;
				committed++;
				if
				:: v > acknowledged -> acknowledged = v
				:: else
				fi
			:: applied[i] < committed -> d_step { apply(i) }
			:: d_step {
					snap_applied[i] = applied[i];
					snap_version[i] = version[i];
					snap_content[i] = content[i]
				}
			:: d_step {
					applied[i] = snap_applied[i];
					version[i] = snap_version[i];
					content[i] = snap_content[i]
				}
			:: tell(i, j)
			:: MAY_READ(i) -> assert(version[i] >= acknowledged) /* fresh_read */
			fi;
			v = 0;
			c = 0
		}
	od
}
