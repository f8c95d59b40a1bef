/*
 * Automatic replacement of the nodes of a consensus group.
 *
 * Follows internal/member (voters.go) on top of internal/raft: the leader adds a node that asks as a learner, makes
 * it a voter once it has caught up, and then removes the voter that it replaces. Founders are 1 to 3; 4 and 5 join
 * empty, under identities of their own. Node 4 listens where node 3 did, whose disk may be lost; node 5 elsewhere.
 * A node that was removed may come back with its disk and asks again. Nodes go down and come up at any time.
 *
 * One log for all: the leader appends one entry at a time, and an election by a node without it drops it. Terms and
 * leaders at the same time are the matter of membership.pml. A node that is down is silent at once and without
 * error: patience only makes a leader decide later.
 *
 * Checked: an elected node has all that was committed; the group has SIZE voters, or one more while it replaces one;
 * a change leaves a majority of voters that answer and have no log to be copied first; more than SIZE voters only for
 * one that does not answer.
 */

#define SIZE 3
#define NODES 5
#ifndef ENTRIES
#define ENTRIES 5
#endif
#ifndef CRASHES
#define CRASHES 4
#endif

#define BIT(n) (1 << ((n) - 1))
#define HAS(mask, n) (((mask) >> ((n) - 1)) & 1)
#define FOUNDERS 7

byte up = FOUNDERS;      /* mask of the nodes that run */
byte lost;               /* mask of the identities that ended with their disks */
byte learners;           /* mask */
byte last[NODES + 1];    /* entries in a node's log */
byte voters[ENTRIES + 1];
byte committed;
bit pending;             /* entry committed + 1 is in some logs */
byte leader;
byte crashes;

/* Scratch, reset after each step. */
byte i; byte count; byte size; byte found;

inline clear() { i = 0; count = 0; size = 0; found = 0 }

/* count := members of mask, size := quorum of electorate */
inline measure(mask, electorate) {
	i = 1; count = 0; size = 0;
	do
	:: i <= NODES ->
		if
		:: HAS(electorate, i) -> size++; count = count + HAS(mask, i)
		:: else
		fi;
		i++
	:: else -> break
	od;
	size = size / 2 + 1
}

/* found := mask of the nodes i in whose that meet a condition */
inline among(whose, condition) {
	i = 1; found = 0;
	do
	:: i <= NODES ->
		if
		:: HAS(whose, i) && (condition) -> found = found | BIT(i)
		:: else
		fi;
		i++
	:: else -> break
	od
}

#define KNOWN(n) voters[last[n]]

inline elect(c) {
#ifdef VOTE_FOR_OLD_LOG
	among(up, true);
#else
	among(up, last[i] <= last[c]);
#endif
	measure(found, KNOWN(c));
	if
	:: count >= size ->
		assert(last[c] >= committed);
		leader = c;
		if
		:: pending && last[c] == committed ->
			pending = 0; i = 1;
			do
			:: i <= NODES ->
				if
				:: last[i] > committed -> last[i] = committed
				:: else
				fi;
				i++
			:: else -> break
			od;
			voters[committed + 1] = 0
		:: else
		fi
	:: else
	fi;
	clear()
}

#define CURRENT voters[committed]

/* A change that the leader appends: set are the voters after it. */
inline append(set) {
	voters[committed + 1] = set;
	pending = 1;
	last[leader] = committed + 1;
	among(up, HAS(CURRENT, i) || last[i] >= committed);
	measure(found, set);
	assert(count >= size);
	i = 1; found = 0;
	do
	:: i <= NODES -> found = found + HAS(set, i); i++
	:: else -> break
	od;
	assert(found >= SIZE && found <= SIZE + 1);
	assert(found == SIZE || count < found)
}

inline commitPending() {
	among(voters[committed + 1], last[i] > committed);
	measure(found, voters[committed + 1]);
	if
	:: count >= size ->
		committed++; pending = 0; learners = learners & ~voters[committed];
		if
		:: !HAS(CURRENT, leader) -> leader = 0
		:: else
		fi
	:: else
	fi;
	clear()
}

#define SILENT(n) (HAS(CURRENT, n) && !HAS(up, n))
#define SOME_SILENT ((CURRENT & ~up) != 0)
#define ASKS(n) (HAS(up, n) && !HAS(CURRENT, n))
#ifdef REMOVE_FIRST
#define REPLACED_IS_DUE (SOME_SILENT && learners != 0)
#else
#define REPLACED_IS_DUE (voterCount(CURRENT) > SIZE)
#endif
#define voterCount(m) (HAS(m, 1) + HAS(m, 2) + HAS(m, 3) + HAS(m, 4) + HAS(m, 5))
#ifdef PROMOTE_WITHOUT_PLACE
#define HAS_PLACE 1
#else
#define HAS_PLACE SOME_SILENT
#endif
#ifdef PROMOTE_BEHIND
#define CAUGHT_UP(n) 1
#else
#define CAUGHT_UP(n) (last[n] == committed)
#endif
#ifdef PROMOTE_SILENT
#define MAY_PROMOTE(n) (HAS(learners, n))
#else
#define MAY_PROMOTE(n) (HAS(learners, n) && ASKS(n))
#endif

/* The leader hears a majority of the voters, itself among them; else it steps down. */
inline hearsMajority() { measure(up, CURRENT) }

#define DECIDES (leader != 0 && !pending && committed < ENTRIES && last[leader] == committed)
#define ADD(n) d_step { DECIDES && voterCount(CURRENT) <= SIZE && ASKS(n) && !HAS(learners, n) && SOME_SILENT -> learners = learners | BIT(n) }
#define PROMOTE(n) d_step { DECIDES && voterCount(CURRENT) <= SIZE && MAY_PROMOTE(n) && CAUGHT_UP(n) && HAS_PLACE -> \
	hearsMajority(); if :: count >= size -> append(CURRENT | BIT(n)) :: else fi; clear() }
#define REMOVE(n) d_step { DECIDES && REPLACED_IS_DUE && SILENT(n) -> \
	hearsMajority(); if :: count >= size -> append(CURRENT & ~BIT(n)) :: else fi; clear() }
#define REPLICATE(n) d_step { leader != 0 && n != leader && HAS(up, n) && last[n] < last[leader] && \
	(HAS(KNOWN(leader), n) || HAS(learners, n)) -> last[n] = last[leader] }
#define CRASH(n) d_step { crashes < CRASHES && HAS(up, n) -> up = up & ~BIT(n); crashes++; if :: leader == n -> leader = 0 :: else fi }
#define START(n) d_step { !HAS(up, n) && !HAS(lost, n) && (n != 4 || HAS(lost, 3)) -> up = up | BIT(n) }
#define ELECT(n) d_step { leader != n && HAS(up, n) && HAS(KNOWN(n), n) && (n <= SIZE || last[n] > 0) -> elect(n) }

#ifdef KEEP_IDENTITY
/* Comes back empty as the founder that it was. */
#define LOSE d_step { !HAS(up, 3) && !HAS(lost, 3) && lost == 0 && last[3] <= committed -> last[3] = 0 }
#else
#define LOSE d_step { !HAS(up, 3) && !HAS(lost, 3) -> lost = lost | BIT(3); last[3] = 0 }
#endif

#define EACH(step) :: step(1) :: step(2) :: step(3) :: step(4) :: step(5)

active proctype Group() {
	voters[0] = FOUNDERS;
end:
	do
	EACH(CRASH)
	EACH(START)
	EACH(ELECT)
	EACH(REPLICATE)
	EACH(ADD)
	EACH(PROMOTE)
	EACH(REMOVE)
	:: LOSE
	:: d_step { pending && leader != 0 -> commitPending() }
#ifdef COMMANDS
	:: d_step { DECIDES -> voters[committed + 1] = CURRENT; pending = 1; last[leader] = committed + 1 }
#endif
	od
}
