/*
 * Leases on the table: holders that act on a version, and leaders of the control group that grant leases.
 *
 * Follows internal/lease and internal/control (leases.go, granting.go). One leader per term; a deposed leader
 * goes on granting and answering what it may for good. A read round that confirms a leadership after a
 * renewal arrived proves that the renewal was sent before a successor was elected, so a deposed leader grants
 * only such renewals.
 *
 * Time is counted in ticks without an end: every time is kept as what remains of it or as an age up to the
 * longest that matters. A holder's clock may be slower than the granter's by DRIFT in one LEASE.
 *
 * Checked in every state: once some leader has said that a version is in force, no holder may act on an
 * older one.
 */

#ifndef HOLDERS
#define HOLDERS 1  /* 1 or 2 */
#endif
#ifndef SLOTS
#define SLOTS 2    /* 1 or 2 renewals of one holder on their way at once, overtaking each other */
#endif
#ifndef TERMS
#define TERMS 2
#endif
#ifndef VERSIONS
#define VERSIONS 2 /* versions run from 0 to VERSIONS */
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define LEASE 2
#define DRIFT 1
#define GRACE 1
#define COUNTED (LEASE + DRIFT)

#define FREE 0
#define SENT 1
#define GRANTED 2

typedef Renewal {
	byte stage;
	byte age;       /* since it was sent, at most COUNTED */
	byte acted;
	byte term;      /* the newest elected when it was sent */
}
typedef Holder {
	byte version;   /* acts on no lower one */
	byte remaining; /* of its lease, in real time */
	bit had;        /* a lease at any time */
	Renewal slot[SLOTS];
}
Holder holder[HOLDERS];

typedef Grant { byte remaining; byte version }
typedef Granter {
	bit made;
	byte wait;       /* until the predecessors' leases have ended */
	byte current;    /* newest committed version that it has applied */
	byte age;        /* since then, at most GRACE */
	byte required;   /* no lease below */
	Grant grant[HOLDERS];
}
Granter granter[TERMS + 1];

byte term;        /* newest that was elected */
byte committed;   /* newest table version */
byte inForce;     /* highest version that anybody was told is in force */
byte restarts;

/* Scratch, reset after each step. */
byte i; byte j; byte lowest;

#ifdef SKIP_LEASE_CHECK
#define MAY_ACT(h) holder[h].had
#else
#define MAY_ACT(h) (holder[h].remaining > 0)
#endif

inline check() {
	i = 0;
	do
	:: i < HOLDERS -> assert(!MAY_ACT(i) || holder[i].version >= inForce); i++
	:: else -> break
	od;
	i = 0
}

/* A version that was applied a grace ago is required of every holder. */
inline advance(g) {
	if
	:: granter[g].age >= GRACE && granter[g].required < granter[g].current -> granter[g].required = granter[g].current
	:: else
	fi
}

inline lead(g) {
	granter[g].made = 1;
#ifdef STALE_TABLE
	granter[g].current = 0;
#else
	granter[g].current = committed;
#endif
	granter[g].required = granter[g].current
}

#ifdef GRANT_ANY_VERSION
#define ENOUGH(g, acted) 1
#else
#define ENOUGH(g, acted) (acted >= granter[g].required)
#endif
#ifdef GRANT_WITHOUT_CONFIRMATION
#define CONFIRMED(g, r) 1
#else
#define CONFIRMED(g, r) (r.term <= g)
#endif

inline forget(r) { r.stage = FREE; r.age = 0; r.acted = 0; r.term = 0 }

inline renew(g, h, r) {
	advance(g);
	lowest = r.acted;
	if
	:: granter[g].grant[h].remaining > 0 && granter[g].grant[h].version < r.acted -> granter[g].grant[h].version = r.acted
	:: granter[g].grant[h].remaining > 0 && granter[g].grant[h].version >= r.acted -> lowest = granter[g].grant[h].version
	:: else
	fi;
	if
	:: ENOUGH(g, lowest) ->
		granter[g].grant[h].version = lowest;
		granter[g].grant[h].remaining = COUNTED;
		r.stage = GRANTED
	:: else -> forget(r)
	fi;
	lowest = 0
}

#ifdef SKIP_NEW_LEADER_WAIT
#define WAITED(g) 1
#else
#define WAITED(g) (granter[g].wait == 0)
#endif

/* A leader is asked for the version in force; whoever asked is told. */
inline answerInForce(g) {
	advance(g);
	lowest = granter[g].current;
	i = 0;
	do
	:: i < HOLDERS ->
		if
		:: granter[g].grant[i].remaining > 0 && granter[g].grant[i].version < lowest -> lowest = granter[g].grant[i].version
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	if
	:: granter[g].required < lowest -> granter[g].required = lowest
	:: else
	fi;
	if
	:: inForce < lowest -> inForce = lowest
	:: else
	fi;
	lowest = 0;
	check()
}

#ifdef COUNT_FROM_REPLY
#define PASSED(r) 0
#else
#define PASSED(r) r.age
#endif

/* The holder's clock may make its lease last longer, by DRIFT at most. */
inline receive(h, r, slower) {
	if
	:: PASSED(r) < LEASE + slower && holder[h].remaining < LEASE + slower - PASSED(r) ->
		holder[h].remaining = LEASE + slower - PASSED(r);
		holder[h].had = 1
	:: else
	fi;
	forget(r);
	check()
}

inline older(value, most) {
	if
	:: value < most -> value++
	:: else
	fi
}

inline shorter(value) {
	if
	:: value > 0 -> value--
	:: else
	fi
}

inline tick() {
	i = 0;
	do
	:: i < HOLDERS ->
		shorter(holder[i].remaining);
		j = 0;
		do
		:: j < SLOTS ->
			if
			:: holder[i].slot[j].stage != FREE -> older(holder[i].slot[j].age, COUNTED)
			:: else
			fi;
			j++
		:: else -> break
		od;
		j = 1;
		do
		:: j <= TERMS ->
			shorter(granter[j].grant[i].remaining);
			if
			:: granter[j].grant[i].remaining == 0 -> granter[j].grant[i].version = 0
			:: else
			fi;
			j++
		:: else -> break
		od;
		i++
	:: else -> break
	od;
	j = 1;
	do
	:: j <= TERMS ->
		shorter(granter[j].wait);
		if
		:: granter[j].required < granter[j].current -> older(granter[j].age, GRACE)
		:: else
		fi;
		advance(j);
		if
		:: granter[j].required == granter[j].current -> granter[j].age = 0
		:: else
		fi;
		j++
	:: else -> break
	od;
	i = 0; j = 0
}

/* A restart: the new run has another identity, no lease and no table. */
inline restart(h) {
	restarts++;
	holder[h].version = 0; holder[h].remaining = 0; holder[h].had = 0;
	j = 0;
	do
	:: j < SLOTS -> forget(holder[h].slot[j]); j++
	:: else -> break
	od;
	j = 1;
	do
	:: j <= TERMS -> granter[j].grant[h].remaining = 0; granter[j].grant[h].version = 0; j++
	:: else -> break
	od;
	j = 0
}

#define SEND(k) d_step { holder[h].slot[k].stage == FREE -> \
	holder[h].slot[k].stage = SENT; holder[h].slot[k].acted = holder[h].version; holder[h].slot[k].term = term }
#define RECEIVE(k, slower) d_step { holder[h].slot[k].stage == GRANTED -> receive(h, holder[h].slot[k], slower) }
#define LOSE(k) d_step { holder[h].slot[k].stage != FREE -> forget(holder[h].slot[k]) }

proctype Process(byte h) {
end:
	do
	:: SEND(0) :: RECEIVE(0, 0) :: RECEIVE(0, DRIFT) :: LOSE(0)
#if SLOTS > 1
	:: SEND(1) :: RECEIVE(1, 0) :: RECEIVE(1, DRIFT) :: LOSE(1)
#endif
	:: d_step { holder[h].version < committed -> holder[h].version++ } /* updates come without a lease */
	:: d_step { restarts < RESTARTS && holder[h].version > 0 -> restart(h) }
	od
}

#define RENEW(h, k) d_step { granter[g].made && holder[h].slot[k].stage == SENT && CONFIRMED(g, holder[h].slot[k]) -> renew(g, h, holder[h].slot[k]) }

proctype Leader(byte g) {
end:
	do
	:: d_step { term == g - 1 -> term = g; granter[g].wait = COUNTED }
	:: d_step { term == g && !granter[g].made -> lead(g) }
	:: d_step { term == g && committed < VERSIONS -> committed++ }
	:: d_step { term == g && granter[g].made && granter[g].current < committed -> granter[g].current++; granter[g].age = 0 }
	:: d_step { granter[g].made && WAITED(g) -> answerInForce(g) }
	:: RENEW(0, 0)
#if SLOTS > 1
	:: RENEW(0, 1)
#endif
#if HOLDERS > 1
	:: RENEW(1, 0)
#if SLOTS > 1
	:: RENEW(1, 1)
#endif
#endif
	od
}

init {
	byte p;
	atomic {
		p = 0;
		do
		:: p < HOLDERS -> run Process(p); p++
		:: else -> break
		od;
		p = 1;
		do
		:: p <= TERMS -> run Leader(p); p++
		:: else -> p = 0; break
		od
	}
end:
	do
	:: d_step { true -> tick(); check() }
	od
}
