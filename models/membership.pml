/*
 * Membership change of a consensus group together with lost machines.
 *
 * Follows internal/raft (configuration.go, election.go, append.go) and the identity rule of
 * internal/consensus: changes go one at a time, are in force from the moment they are in a node's log, and
 * are refused until the leader has committed an entry of its own term; a machine whose disk was lost comes
 * back under a new identity, empty, and becomes a voter only once it has caught up. Each entry names the
 * whole set of voters, so a command's entry repeats the set of the entry before it.
 *
 * A vote, a replication with its acknowledgement, and a commit are one transition each; messages that are
 * delayed or lost are transitions that come late or never. A machine that is down, or whose disk is lost,
 * takes no more steps: its identity ends, and the new one is an identity of its own.
 *
 * Checked: at most one leader in a term; a new leader has every committed entry; nothing else is ever
 * committed at the same place.
 */

#ifndef VOTERS
#define VOTERS 3    /* first voters, identities 1 to VOTERS */
#endif
#define IDENTITIES 4 /* those after the first voters are replaced machines, empty at first */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 4   /* at most 4 */
#endif
#define LOSSES 1    /* only when a lost disk does not end an identity */

#define BIT(i) (1 << ((i) - 1))
#define HAS(mask, i) (((mask) >> ((i) - 1)) & 1)
#define FIRST_VOTERS ((1 << VOTERS) - 1)

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef Node {
	byte term;
	byte vote;
	byte role;
	byte votes;      /* mask, of a candidate */
	byte last;       /* entries in the log */
	byte commit;     /* of a leader; a follower is not told */
	byte ackTerm;    /* the leader that was last told what this disk holds, by its term */
	byte ackIndex;   /* and what it was told */
	byte entryTerm[ENTRIES + 1];
	byte voters[ENTRIES + 1]; /* at 0: before the first entry */
}
Node node[IDENTITIES + 1];

byte leaderOf[TERMS + 1];
#ifdef VOTE_AFTER_DISK_LOSS
byte losses;
#endif
byte committed;                  /* entries ever committed */
byte committedTerm[ENTRIES + 1];
byte committedBy[ENTRIES + 1];  /* term of the first leader that knew it to be committed */

/* Scratch, reset after each step. */
byte i; byte count; byte size; byte top; bit same;

#define CONFIGURATION(n) node[n].voters[node[n].last]
#define LAST_TERM(n) node[n].entryTerm[node[n].last]

inline clear() { i = 0; count = 0; size = 0; top = 0; same = 0 }

/* count := members of mask, size := quorum of electorate */
inline measure(mask, electorate) {
	i = 1; count = 0; size = 0;
	do
	:: i <= IDENTITIES ->
		if
		:: HAS(electorate, i) -> size++; count = count + HAS(mask, i)
		:: else
		fi;
		i++
	:: else -> break
	od;
	size = size / 2 + 1
}

/* The place of the configuration in force: a change that is not committed lets no other begin. */
inline lastChange(n) {
	top = node[n].last;
	do
	:: top > 0 && node[n].voters[top] == node[n].voters[top - 1] -> top--
	:: else -> break
	od
}

/* A node may campaign while it does not know that the configuration that leaves it out is committed. */
#define MAY_CAMPAIGN(n) (HAS(CONFIGURATION(n), n) || HAS(node[n].voters[node[n].commit], n))

inline follow(n, newTerm) {
	if
	:: node[n].term < newTerm -> node[n].term = newTerm; node[n].vote = 0
	:: else
	fi;
	node[n].role = FOLLOWER; node[n].votes = 0
}

inline appendEntry(n, set) {
	node[n].voters[node[n].last + 1] = set;
	node[n].last++;
	node[n].entryTerm[node[n].last] = node[n].term;
	node[n].ackTerm = node[n].term; node[n].ackIndex = node[n].last
}

inline campaign(n) {
	node[n].term++;
	node[n].vote = n;
	node[n].role = CANDIDATE;
	node[n].votes = BIT(n)
}

#define UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && node[c].last >= node[v].last))
#define GRANTS(v, c) (UP_TO_DATE(c, v) && (node[v].term < node[c].term || (node[v].term == node[c].term && (node[v].vote == 0 || node[v].vote == c))))

inline grant(v, c) {
	follow(v, node[c].term);
	node[v].vote = c;
	node[c].votes = node[c].votes | BIT(v)
}

/* A candidate that a quorum of its own configuration voted for leads. */
inline tryLead(n) {
	measure(node[n].votes, CONFIGURATION(n));
	if
	:: count >= size ->
		assert(leaderOf[node[n].term] == 0);
		leaderOf[node[n].term] = n;
		i = 1;
		do
		:: i <= committed ->
			assert(committedBy[i] >= node[n].term || (i <= node[n].last && node[n].entryTerm[i] == committedTerm[i]));
			i++
		:: else -> break
		od;
		node[n].role = LEADER; node[n].votes = 0;
		if
		:: node[n].last < ENTRIES -> appendEntry(n, CONFIGURATION(n))
		:: else
		fi
	:: else
	fi;
	clear()
}

/* f takes the leader's log up to an entry and acknowledges it. */
inline replicate(l, f, upTo) {
	follow(f, node[l].term);
	i = 1; same = 1;
	do
	:: i <= upTo ->
		if
		:: same && (i > node[f].last || node[f].entryTerm[i] != node[l].entryTerm[i]) -> same = 0
		:: else
		fi;
		node[f].entryTerm[i] = node[l].entryTerm[i];
		node[f].voters[i] = node[l].voters[i];
		i++
	:: else -> break
	od;
	if
	:: !same ->
		node[f].last = upTo;
		do
		:: i <= ENTRIES -> node[f].entryTerm[i] = 0; node[f].voters[i] = 0; i++
		:: else -> break
		od
	:: else
	fi;
	if
	:: node[f].ackTerm != node[l].term -> node[f].ackTerm = node[l].term; node[f].ackIndex = upTo
	:: node[f].ackTerm == node[l].term && node[f].ackIndex < upTo -> node[f].ackIndex = upTo
	:: else
	fi;
	clear()
}

/* mask of nodes whose disks are known to the leader to hold its log up to index */
inline holders(l, index) {
	i = 1; same = 0; top = 0;
	do
	:: i <= IDENTITIES ->
		if
		:: node[i].ackTerm == node[l].term && node[i].ackIndex >= index -> top = top | BIT(i)
		:: else
		fi;
		i++
	:: else -> break
	od
}

inline commitUpTo(l, index) {
	holders(l, index);
	measure(top, CONFIGURATION(l));
	if
	:: count >= size ->
		i = 1;
		do
		:: i <= index ->
			assert(i > committed || committedTerm[i] == node[l].entryTerm[i]);
			committedTerm[i] = node[l].entryTerm[i];
			if
			:: committedBy[i] == 0 || committedBy[i] > node[l].term -> committedBy[i] = node[l].term
			:: else
			fi;
			i++
		:: else -> break
		od;
		if
		:: committed < index -> committed = index
		:: else
		fi;
		node[l].commit = index;
		if
		:: !HAS(CONFIGURATION(l), l) ->
			lastChange(l);
			if
			:: top <= index -> node[l].role = FOLLOWER /* its own removal is committed */
			:: else
			fi
		:: else
		fi
	:: else
	fi;
	clear()
}

#ifdef CHANGE_WITHOUT_OWN_COMMIT
#define KNOWS_ALL(l) 1
#else
#define KNOWS_ALL(l) (node[l].entryTerm[node[l].commit] == node[l].term)
#endif
#ifdef CONCURRENT_CHANGES
#define NONE_PENDING(l) 1
#else
#define NONE_PENDING(l) (top <= node[l].commit)
#endif

inline change(l, who) {
	lastChange(l);
	if
	:: NONE_PENDING(l) && KNOWS_ALL(l) ->
		if
		:: HAS(CONFIGURATION(l), who) && CONFIGURATION(l) != BIT(who) ->
			appendEntry(l, CONFIGURATION(l) & ~BIT(who))
		:: !HAS(CONFIGURATION(l), who) && who > VOTERS && node[who].ackTerm == node[l].term && node[who].ackIndex >= node[l].commit ->
			appendEntry(l, CONFIGURATION(l) | BIT(who))
		:: else
		fi
	:: else
	fi;
	clear()
}

#ifdef VOTE_AFTER_DISK_LOSS
/* A machine whose disk was lost goes on under its old identity. */
inline lose(n) {
	losses++;
	node[n].term = 0; node[n].vote = 0; node[n].role = FOLLOWER; node[n].votes = 0; node[n].commit = 0;
	do
	:: node[n].last > 0 -> node[n].entryTerm[node[n].last] = 0; node[n].voters[node[n].last] = 0; node[n].last--
	:: else -> break
	od;
	node[n].voters[0] = FIRST_VOTERS
}
#endif

#define LEADS(n) (node[n].role == LEADER)
#define VOTE(peer) d_step { node[n].role == CANDIDATE && peer != n && HAS(CONFIGURATION(n), peer) && GRANTS(peer, n) -> grant(peer, n); tryLead(n) }
#define NEWS(peer, index) (node[peer].ackTerm != node[n].term || node[peer].ackIndex < index)
#define APPEND(peer, index) d_step { LEADS(n) && index <= node[n].last && peer != n && node[peer].term <= node[n].term && NEWS(peer, index) -> replicate(n, peer, index) }
#define COMMIT(index) d_step { LEADS(n) && index <= node[n].last && index > node[n].commit && node[n].entryTerm[index] == node[n].term -> commitUpTo(n, index) }
#define CHANGE(who) d_step { LEADS(n) && node[n].last < ENTRIES -> change(n, who) }

proctype Machine(byte n) {
end:
	do
	/* Also after a restart, so a leader may too. */
	:: d_step { node[n].term < TERMS && MAY_CAMPAIGN(n) -> campaign(n); tryLead(n) }
#ifdef COMMANDS
	:: d_step { LEADS(n) && node[n].last < ENTRIES -> appendEntry(n, CONFIGURATION(n)) }
#endif
	:: VOTE(1) :: VOTE(2) :: VOTE(3) :: VOTE(4)
	:: APPEND(1, 1) :: APPEND(1, 2) :: APPEND(1, 3) :: APPEND(1, 4)
	:: APPEND(2, 1) :: APPEND(2, 2) :: APPEND(2, 3) :: APPEND(2, 4)
	:: APPEND(3, 1) :: APPEND(3, 2) :: APPEND(3, 3) :: APPEND(3, 4)
	:: APPEND(4, 1) :: APPEND(4, 2) :: APPEND(4, 3) :: APPEND(4, 4)
	:: COMMIT(1) :: COMMIT(2) :: COMMIT(3) :: COMMIT(4)
	:: CHANGE(1) :: CHANGE(2) :: CHANGE(3) :: CHANGE(4)
#ifdef VOTE_AFTER_DISK_LOSS
	:: d_step { losses < LOSSES -> lose(n) }
#endif
	od
}

/* Node 1 leads the first term; every voter has voted for it or will learn of it. */
init {
	d_step {
		i = 1;
		do
		:: i <= IDENTITIES -> node[i].voters[0] = (i <= VOTERS -> FIRST_VOTERS : 0); i++
		:: else -> break
		od;
		clear();
		node[1].term = 1; node[1].vote = 1; node[1].role = LEADER;
		i = 2;
		do
		:: i <= VOTERS / 2 + 1 -> node[i].term = 1; node[i].vote = 1; i++
		:: else -> break
		od;
		leaderOf[1] = 1;
		clear();
		appendEntry(1, FIRST_VOTERS)
	}
	atomic {
		i = 1;
		do
		:: i <= IDENTITIES -> run Machine(i); i++
		:: else -> i = 0; break
		od
	}
}
