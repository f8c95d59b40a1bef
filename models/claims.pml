/*
 * Claims of one idempotency key on a replicated ledger whose leader fails over.
 *
 * Follows internal/claim (apply.go, retention.go) and internal/dispatch/claims.go. Each attempt is one
 * arrival of the key at a gateway of its own. Every step of a gateway, of the ledger and of a back end is one
 * transition; a process that died is one that takes no more steps, so a crash between any two steps is part
 * of every run. Messages to the ledger stay on the network for good: each can arrive late, often, or never.
 * A gateway that does not get a reply in time is one that had stopped waiting before the command took effect;
 * one that tells its caller "may have run" without having sent is one that waits for good.
 *
 * Checked: the key runs at most once; after a caller was told "did not run", no attempt that had arrived by
 * the time of that refusal runs; "ran" is only said of a key that ran.
 *
 * Each of the macros listed in check.sh switches one safety step off; the checker must then find a fault.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3  /* arrivals of the key, each at another gateway */
#endif
#ifndef TRIES
#define TRIES 2     /* 1 or 2 attempt names that one arrival may use: a name whose grant is unknown is given up */
#endif
#ifndef COMMITS
#define COMMITS 7   /* committed ledger entries that change anything */
#endif
#ifndef TAIL
#define TAIL 2      /* entries that the leader has and that are not committed; 0: each commits at once */
#endif
#ifndef TICKS
#define TICKS 0     /* the clock runs from 0 to TICKS; 0 leaves retention out */
#endif
#define KEEP_ANSWERS 0
#define KEEP_KEYS 1
#define KEEP_ATTEMPTS 1

#define NAMES (ATTEMPTS * TRIES)
#define ARRIVAL(name) ((name) / TRIES)
#define BIT(i) (1 << (i))
#define HAS(mask, i) (((mask) >> (i)) & 1)

/* Ledger commands; each kind has a mask of the names it was sent for. */
#define BEGIN 0
#define RELEASE 1
#define REFUSE 2
#define REFUSE_NAMELESS 3
#define FINISH_DONE 4
#define FINISH_UNKNOWN 5
#define KINDS 6
#define ORPHAN 6
#define EXPIRE 7
#define OTHER_KEY 8

/* States of the record, also results. */
#define FREE 0
#define RUNNING 1
#define DONE 2
#define UNKNOWN 3
#define GRANTED 4
#define STALE 5

/* States of an arrival. */
#define ABSENT 0
#define CLAIMING 1
#define HELD 2
#define SENT 3
#define RELEASING 4
#define REFUSING 5
#define REFUSING_NAMELESS 6
#define POLLING 7
#define ANSWERED 8

typedef Ledger {
	byte index;      /* committed entries that changed anything: only these matter to tickets */
	byte state;
	byte holder;     /* name */
	byte refused;    /* lower tickets are refused */
	byte last;       /* index of the last change of the record */
	byte floor;      /* lower tickets are refused, whatever the record */
	byte released;   /* mask of names */
	byte clock;
	byte at;         /* clock at the last change */
	byte floorAt;
	bit aged;
	byte mark[TICKS + 1]; /* first index at each time, 0 for none */
}
Ledger ledger;
#ifdef ANSWER_BEFORE_COMMIT
Ledger leader;     /* the leader's state with its uncommitted tail applied */
#endif

byte tailKind[TAIL + 1];
byte tailName[TAIL + 1];
byte tailLength;
byte onTheWay[KINDS]; /* mask of names */

byte phase[ATTEMPTS];
byte ticket[ATTEMPTS];
byte try[ATTEMPTS];
byte sentTo;       /* mask of arrivals whose request is on its way to a back end */

byte now;
byte lastUse;      /* time of the last grant */
bit used;

byte runs;
byte ranFor;       /* mask of arrivals */
byte arrived;      /* mask of arrivals */
byte barred;        /* mask of arrivals that must not run: somebody was told "did not run" */

/* Scratch, reset after each step. */
byte kind; byte name; byte result; byte who; byte i; bit changed;

#define NAME(a) ((a) * TRIES + try[a])

inline touch(l) { l.last = l.index; l.at = l.clock; l.aged = 0; changed = 1 }
inline settle(l) { l.released = 0; touch(l) }

inline stamp(l) {
	l.clock = now;
	if
	:: TICKS > 0 && l.mark[now] == 0 -> l.mark[now] = l.index; changed = 1
	:: else
	fi
}

#ifdef IGNORE_TICKETS
#define TOO_OLD(l) 0
#else
#define TOO_OLD(l) (ticket[ARRIVAL(name)] < l.refused || ticket[ARRIVAL(name)] < l.floor)
#endif
#ifdef FORGET_RELEASES
#define GIVEN_UP(l) 0
#else
#define GIVEN_UP(l) HAS(l.released, name)
#endif
#ifdef GRANT_TWICE
#define TAKEN(l) (l.state != FREE && l.state != RUNNING)
#else
#define TAKEN(l) (l.state != FREE)
#endif

inline applyBegin(l) {
	stamp(l);
	if
	:: l.state == RUNNING && l.holder == name -> result = GRANTED
	:: !(l.state == RUNNING && l.holder == name) && TAKEN(l) -> result = l.state
	:: !(l.state == RUNNING && l.holder == name) && !TAKEN(l) && (TOO_OLD(l) || GIVEN_UP(l)) -> result = STALE
	:: else ->
		l.state = RUNNING;
		l.holder = name;
		touch(l);
		result = GRANTED
	fi
}

inline applyFinish(l) {
	stamp(l);
	if
	:: l.holder == name && l.state != FREE && (l.state == RUNNING || (l.state == UNKNOWN && kind == FINISH_DONE)) ->
		l.state = (kind == FINISH_DONE -> DONE : UNKNOWN);
		settle(l)
	:: else
	fi;
	result = l.state
}

inline free(l) {
	if
	:: l.state == RUNNING && l.holder == name -> l.state = FREE; l.holder = 0; l.aged = 0
	:: else
	fi
}

inline applyRelease(l) {
	stamp(l);
	free(l);
	if
	:: l.state == FREE && !HAS(l.released, name) -> l.released = l.released | BIT(name); touch(l)
	:: l.state == RUNNING && !HAS(l.released, name) -> l.released = l.released | BIT(name); l.last = l.index; changed = 1
	:: else
	fi;
	result = l.state
}

#ifdef REFUSE_BELOW_FLOOR
#define BELOW_FLOOR(l) 0
#else
#define BELOW_FLOOR(l) (ticket[ARRIVAL(name)] < l.floor)
#endif

inline applyRefuse(l) {
	stamp(l);
	if
	:: kind == REFUSE ->
		free(l);
		if
		:: l.state == RUNNING -> l.released = l.released | BIT(name)
		:: else
		fi
	:: else
	fi;
	result = l.state;
	if
	:: l.state == FREE && BELOW_FLOOR(l) -> result = UNKNOWN /* the key may have run and been dropped since */
	:: l.state == FREE && !BELOW_FLOOR(l) -> l.refused = l.index; settle(l)
	:: else
	fi
}

inline drop(l) {
	l.state = FREE; l.holder = 0; l.refused = 0; l.released = 0; l.aged = 0;
#ifndef DROP_WITHOUT_FLOOR
	if
	:: l.floor < l.last -> l.floor = l.last
	:: else
	fi;
#endif
	l.last = 0; l.at = 0; changed = 1
}

#ifdef DROP_WITHOUT_FLOOR
#define MAY_DROP(l) (l.at + KEEP_KEYS < l.clock)
#else
#define MAY_DROP(l) (l.at + KEEP_KEYS + KEEP_ATTEMPTS < l.clock && l.at + KEEP_KEYS < l.floorAt)
#endif

inline applyExpire(l) {
	i = 0;
	do
	:: i + KEEP_ATTEMPTS < l.clock ->
		if
		:: l.mark[i] != 0 ->
			l.floorAt = i;
#ifndef DROP_WITHOUT_FLOOR
			if
			:: l.floor < l.mark[i] -> l.floor = l.mark[i]
			:: else
			fi;
#endif
			l.mark[i] = 0
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	if
	:: l.aged && MAY_DROP(l) -> drop(l)
	:: !l.aged && l.last != 0 && l.state != RUNNING && l.at + KEEP_ANSWERS < l.clock ->
		if
		:: l.state == FREE -> drop(l)
		:: else ->
#ifdef REUSE_EXPIRED
			l.state = FREE;
#endif
			l.aged = 1
		fi
	:: else
	fi;
	result = FREE
}

inline apply(l) {
	l.index++;
	if
	:: kind == BEGIN -> applyBegin(l)
	:: kind == RELEASE -> applyRelease(l)
	:: kind == REFUSE || kind == REFUSE_NAMELESS -> applyRefuse(l)
	:: kind == FINISH_DONE || kind == FINISH_UNKNOWN -> applyFinish(l)
	:: kind == ORPHAN ->
		if
		:: l.state == RUNNING -> l.state = UNKNOWN; settle(l)
		:: else
		fi
	:: kind == EXPIRE -> applyExpire(l)
	:: else -> stamp(l) /* OTHER_KEY */
	fi;
	if
	:: !changed -> l.index--
	:: else -> changed = 0
	fi
}

/* The caller is told "did not run". */
inline tellNotRun() {
	phase[who] = ANSWERED;
	barred = barred | arrived;
	assert((ranFor & barred) == 0)
}

inline tellState() {
	phase[who] = ANSWERED;
	assert(result != DONE || runs > 0)
}

/* The reply to the command reaches the gateway that still waits for it. */
inline deliver() {
	who = ARRIVAL(name);
	if
	:: kind == BEGIN && phase[who] == CLAIMING && NAME(who) == name ->
		if
		:: result == GRANTED -> phase[who] = HELD
		:: result == STALE -> phase[who] = REFUSING_NAMELESS; onTheWay[REFUSE_NAMELESS] = onTheWay[REFUSE_NAMELESS] | BIT(name)
		:: result == RUNNING -> phase[who] = POLLING
		:: else -> tellState()
		fi
	:: kind == RELEASE && phase[who] == RELEASING && NAME(who) == name -> again()
	:: (kind == REFUSE && phase[who] == REFUSING || kind == REFUSE_NAMELESS && phase[who] == REFUSING_NAMELESS) && NAME(who) == name ->
		if
		:: result == FREE -> tellNotRun()
		:: else -> tellState()
		fi
	:: else
	fi;
	who = 0
}

/* The arrival claims again under another name, or gives up. */
inline again() {
	if
	:: try[who] + 1 < TRIES ->
		try[who] = try[who] + 1;
		phase[who] = CLAIMING;
		onTheWay[BEGIN] = onTheWay[BEGIN] | BIT(NAME(who))
	:: else ->
		phase[who] = REFUSING_NAMELESS;
		onTheWay[REFUSE_NAMELESS] = onTheWay[REFUSE_NAMELESS] | BIT(NAME(who))
	fi
}

inline noteGrant() {
	if
	:: result == GRANTED -> used = 1; lastUse = now
	:: else
	fi
}

inline clear() { kind = 0; name = 0; result = 0; who = 0; i = 0 }

/* The oldest uncommitted entry is committed and applied, and its reply arrives. */
inline commit() {
	kind = tailKind[0]; name = tailName[0];
	i = 1;
	do
	:: i < TAIL -> tailKind[i-1] = tailKind[i]; tailName[i-1] = tailName[i]; i++
	:: else -> break
	od;
	i = 0;
	tailLength--;
	tailKind[tailLength] = 0; tailName[tailLength] = 0;
	apply(ledger);
	noteGrant()
}

#define ROOM (tailLength < TAIL + (TAIL == 0) && ledger.index + tailLength < COMMITS)

/* The leader takes a command into its log; without a tail it is committed at once. */
inline append() {
#if TAIL == 0
	apply(ledger);
	noteGrant();
	deliver();
#else
	tailKind[tailLength] = kind; tailName[tailLength] = name; tailLength++;
#ifdef ANSWER_BEFORE_COMMIT
	apply(leader);
	noteGrant();
	deliver();
#endif
#endif
	clear()
}

inline failover() {
	i = 0;
	do
	:: i < TAIL -> tailKind[i] = 0; tailName[i] = 0; i++
	:: else -> break
	od;
	i = 0;
	tailLength = 0;
#ifdef ANSWER_BEFORE_COMMIT
	leader.index = ledger.index; leader.state = ledger.state; leader.holder = ledger.holder;
	leader.refused = ledger.refused; leader.last = ledger.last; leader.floor = ledger.floor;
	leader.released = ledger.released; leader.clock = ledger.clock; leader.at = ledger.at;
	leader.floorAt = ledger.floorAt; leader.aged = ledger.aged;
#endif
}

inline send(command) { onTheWay[command] = onTheWay[command] | BIT(NAME(a)) }

#define MAY_ARRIVE ((!used || now <= lastUse + KEEP_KEYS) && (a == 0 || HAS(arrived, a - 1)))

/* A command of one of the arrival's names, sent some time ago, reaches the leader. */
#define REACHES(command, number) ROOM && HAS(onTheWay[command], a * TRIES + number) -> kind = command; name = a * TRIES + number; append()


/* One arrival of the key. */
proctype Gateway(byte a) {
	byte t;
end:
	do
	/* It arrives with a ticket: an index that its gateway has heard of. */
	:: atomic { phase[a] == ABSENT && MAY_ARRIVE ->
		t = 0;
#ifdef EXACT_TICKETS
		t = ledger.index; /* its gateway knows of every entry: the ticket that is granted most */
#else
		do
		:: t < ledger.index -> t++
		:: break
		od;
#endif
		d_step {
			ticket[a] = t; t = 0;
			phase[a] = CLAIMING;
			arrived = arrived | BIT(a);
			send(BEGIN)
		} }
	/* No reply to the begin: the name is given up before anything else. */
	:: d_step { phase[a] == CLAIMING ->
#ifdef TRUST_LOST_BEGIN
		phase[a] = HELD
#else
		phase[a] = RELEASING;
		send(RELEASE)
#endif
		}
	/* Another attempt holds the key: ask again, or tell the caller "may have run". */
	:: d_step { phase[a] == POLLING && ledger.state == FREE ->
		who = a;
		again();
		clear() }
	:: d_step { phase[a] == POLLING ->
		result = ledger.state; who = a;
		tellState();
		clear() }
	:: d_step { phase[a] == HELD ->
		phase[a] = SENT;
		sentTo = sentTo | BIT(a) }
	/* No back end, no lease, too late: the key is refused, and the name with it. */
	:: d_step { phase[a] == HELD ->
#ifdef REFUSE_WITHOUT_LEDGER
		who = a;
		tellNotRun();
		clear();
		send(RELEASE)
#else
		phase[a] = REFUSING;
		send(REFUSE)
#endif
		}
	/* The back end certainly did not get it. */
	:: d_step { phase[a] == SENT && HAS(sentTo, a) ->
		sentTo = sentTo & ~BIT(a);
		phase[a] = HELD }
	:: d_step { phase[a] == SENT && HAS(ranFor, a) ->
		phase[a] = ANSWERED;
		send(FINISH_DONE) }
	:: d_step { phase[a] == SENT ->
		phase[a] = ANSWERED; /* "may have run" */
		send(FINISH_UNKNOWN) }
	:: d_step { REACHES(BEGIN, 0) }
	:: d_step { REACHES(RELEASE, 0) }
	:: d_step { REACHES(REFUSE, 0) }
	:: d_step { REACHES(REFUSE_NAMELESS, 0) }
	:: d_step { REACHES(FINISH_DONE, 0) }
	:: d_step { REACHES(FINISH_UNKNOWN, 0) }
#if TRIES > 1
	:: d_step { REACHES(BEGIN, 1) }
	:: d_step { REACHES(RELEASE, 1) }
	:: d_step { REACHES(REFUSE, 1) }
	:: d_step { REACHES(REFUSE_NAMELESS, 1) }
	:: d_step { REACHES(FINISH_DONE, 1) }
	:: d_step { REACHES(FINISH_UNKNOWN, 1) }
#endif
	/* The back end runs what it was sent, however late. */
	:: d_step { HAS(sentTo, a) ->
		sentTo = sentTo & ~BIT(a);
		ranFor = ranFor | BIT(a);
		runs++;
		assert(runs <= 1);
		assert((ranFor & barred) == 0) }
	od
}

active proctype Group() {
	byte n;
	atomic {
		n = 0;
		do
		:: n < ATTEMPTS -> run Gateway(n); n++
		:: else -> n = 0; break
		od
	}
end:
	do
	:: d_step { ROOM && ledger.state == RUNNING -> kind = ORPHAN; append() }
#if TICKS > 0
	:: d_step { ROOM && ledger.clock > KEEP_ANSWERS -> kind = EXPIRE; append() }
	:: d_step { ROOM && ledger.clock < now -> kind = OTHER_KEY; append() }
	:: d_step { now < TICKS -> now++ }
#endif
#if TAIL > 0
	:: d_step { tailLength > 0 -> commit(); deliver(); clear() }
	:: d_step { tailLength > 0 -> failover() }
#endif
	od
}
