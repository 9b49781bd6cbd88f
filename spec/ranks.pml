/* Switches the expert map of a group of ranks whose engines accept orders without a fencing token.
 *
 * The process beside rank 0 is the leader. It (1) has a map prepared on every rank, (2) has another rank hold a step
 * that is still to come, (3) has every rank but its own armed for that step, then its own, and (4) releases the step.
 * An order stays in flight once it is sent: it may arrive late, twice, after newer orders, or never; engines do not
 * number orders. The leader may crash at any point and restart without memory. A deputy may at any time conclude that
 * the leader is gone and bring the group out of the held step without reading the state of rank 0, whose VM may be
 * unreachable: it rolls forward if another rank is armed, and otherwise, or if rank 0 is seen that can no longer be
 * armed, rolls back by preparing a newer version on every rank but rank 0, after which the pending map can no longer be
 * armed there. The states of the ranks are read one
 * after the other, not as a snapshot. The group ends its epoch at most once, which clears the state of all ranks.
 *
 * Variants that each leave out one guard: NOHOLD (ranks are armed without a held step), EARLYGO (the step is released
 * before all ranks have been seen armed), SAMEVERSION (a version number is reused for another map), STALEEPOCH (orders
 * carry no epoch), ABANDON (a step is released although the map can still be armed), EARLYOWN (rank 0 is armed at the
 * same time as the others), EARLYDISARM (ranks are disarmed before one has been seen that can no longer be armed),
 * FORWARD (a switch with no armed rank is completed with what is prepared), SAMESTEP (a step that the leader had held
 * before a restart is held again), REUSE (the version of a switch that the leader gave up while its map was being
 * prepared is given to the next map). The leader tells maps of its own start apart by their versions only.
 */

/* The group has two ranks, or three with THREE; ALL has one bit set for each rank but rank 0. */
#ifdef THREE
#define RANKS 3
#define ALL 6
#define NEWEST (rank[1].prepared > rank[2].prepared -> rank[1].prepared : rank[2].prepared)
#define AND3(x) && (x)
#define OR3(x) || (x)
#else
#define RANKS 2
#define ALL 2
#define NEWEST (rank[1].prepared)
#define AND3(x)
#define OR3(x)
#endif
/* The rank that holds steps. */
#define HOLDER 1
#ifndef LAST
#define LAST 2
#endif
#ifndef FLIGHT
#define FLIGHT 1
#endif
/* How many switches leaders begin in total. It bounds the search: steps may be held repeatedly while none is taken. */
#ifndef TRIES
#define TRIES 1
#endif
/* Whether the leader may crash, at most once; CALM leaves out the crash and the deputy. */
#ifdef CALM
#define DIES (false)
#else
#define DIES (me == 1)
#endif
/* The content of a version that is prepared only so that older versions can no longer be armed. */
#define FILLER 7

mtype = { prepare, arm, disarm, hold, go };

typedef Rank {
	byte prepared; /* newest version fully loaded, 0 for none */
	byte content;  /* the number of the switch that made that map, or FILLER */
	byte armed;    /* version to switch to, 0 for none */
	byte at;       /* step at which the rank switches to it */
	byte target;   /* content of the armed version */
	byte held;     /* step that the rank does not begin until released, 0 for none */
	byte used      /* version * 8 + content of the map in use, 0 for the initial map */
}
Rank rank[RANKS];

byte step = 0;
byte epoch = 1;
byte tries = 0;

/* op; version, or 0 for hold and go; content; step; epoch. The content of a hold is 1 once it was queued again. */
chan flight[RANKS] = [FLIGHT] of { mtype, byte, byte, byte, byte };

#ifdef STALEEPOCH
#define CURRENT(e) (true)
#else
#define CURRENT(e) (e == epoch)
#endif

inline post(to, what, value, owner, when) {
	if
	:: len(flight[to]) < FLIGHT -> flight[to]!what, value, owner, when, e
	:: else
	fi
}

inline clear(r) {
	rank[r].prepared = 0; rank[r].content = 0; rank[r].armed = 0; rank[r].at = 0; rank[r].target = 0;
	rank[r].held = 0; rank[r].used = 0
}

inline carry(r) {
	if
	:: !CURRENT(e)
	:: else ->
		if
		:: op == prepare && a > rank[r].prepared && rank[r].armed == 0 -> rank[r].prepared = a; rank[r].content = b
		:: op == arm && rank[r].prepared == a && c > step && rank[r].armed == 0 ->
			rank[r].armed = a; rank[r].at = c; rank[r].target = rank[r].content
		:: op == disarm && rank[r].armed == a && a != 0 -> rank[r].armed = 0; rank[r].at = 0; rank[r].target = 0
		:: op == hold && c > step && rank[r].held == 0 -> rank[r].held = c
		:: op == go && rank[r].held == c -> rank[r].held = 0
		:: else
		fi
	fi
}

/* An order that arrives is either carried out, carried out and queued again (a duplicate), or queued again behind later
 * ones (reordered). A hold is queued again once at most, as otherwise the step could be held again for ever. */
proctype Engine(byte r) {
	mtype op; byte a, b, c, e;
end:
	do
	:: atomic {
		len(flight[r]) > 0 -> flight[r]?op, a, b, c, e;
		if
		:: true -> carry(r)
		:: op != hold || b == 0 -> carry(r); b = (op == hold -> 1 : b); flight[r]!op, a, b, c, e
		:: op != hold || b == 0 -> b = (op == hold -> 1 : b); flight[r]!op, a, b, c, e
		fi;
		op = 0; a = 0; b = 0; c = 0; e = 0
	}
	od
}

/* The step that the leader asks to hold: at least two ahead, and none that this or an earlier start may have held. */
#ifdef SAMESTEP
#define AHEAD (step + 2)
#else
#define AHEAD (step + 2 > free -> step + 2 : free)
#endif
#define HELD (rank[HOLDER].held)
#define ARMED(r, s) (rank[r].armed != 0 && rank[r].at == s)
#define OLDER(r) (rank[r].armed == 0 && rank[r].prepared <= dead)
#define NEWER(r) (rank[r].armed == 0 && rank[r].prepared > dead)
#define ABOVE(v) (v > rank[0].prepared -> v : rank[0].prepared)
#ifdef SAMEVERSION
#define HAS(r, v) (rank[r].prepared == v)
#else
#define HAS(r, v) (rank[r].prepared == v && rank[r].content > base && rank[r].content != FILLER)
#endif
#ifdef REUSE
#define UNUSED(v) (v)
#else
#define UNUSED(v) (v > given -> v : given)
#endif
/* With SALT versions of two starts differ, and one that an earlier start gave may be the higher one. */
#ifdef SALT
#define NEXT(v) ((v / 2 + 1) * 2 + (me == 1 -> 1 : 0))
#else
#define NEXT(v) (v + 1)
#endif

/* Brings the group out of the held step s; reads the state of rank 0 only when rank 0 is to be armed. */
inline settle() {
	atomic { dead = rank[HOLDER].prepared; seen = 0; safe = 0; v = 0 };
	do
	:: e != epoch || HELD != s -> break
	/* Roll forward if a rank is armed. */
	:: atomic { e == epoch && HELD == s && ARMED(1, s) -> seen = seen | 2; v = rank[1].armed }
#ifdef THREE
#ifdef THREE
	:: atomic { e == epoch && HELD == s && ARMED(2, s) -> seen = seen | 4; v = rank[2].armed }
#endif
#endif
	:: atomic { e == epoch && HELD == s && seen == 4 && rank[1].armed == 0 && rank[1].prepared == v -> post(1, arm, v, 0, s) }
#ifdef THREE
#ifdef THREE
	:: atomic { e == epoch && HELD == s && seen == 2 && rank[2].armed == 0 && rank[2].prepared == v -> post(2, arm, v, 0, s) }
#endif
#endif
	:: atomic { e == epoch && HELD == s && seen == ALL && rank[0].armed == 0 -> post(0, arm, v, 0, s) }
	:: atomic { e == epoch && HELD == s && seen == ALL && ARMED(0, s) && rank[0].armed == v -> post(HOLDER, go, 0, 0, s) }
#ifdef FORWARD
	:: atomic { e == epoch && HELD == s && rank[1].armed == 0 AND3(rank[1].prepared == rank[2].prepared) ->
		x = rank[1].prepared; post(1, arm, x, 0, s); x = 0 }
#ifdef THREE
	:: atomic { e == epoch && HELD == s && rank[2].armed == 0 && rank[1].prepared == rank[2].prepared ->
		x = rank[2].prepared; post(2, arm, x, 0, s); x = 0 }
#endif
#endif
	/* Roll back if a rank is not armed, or rank 0 can no longer be armed. */
	:: atomic { e == epoch && HELD == s && OLDER(1) -> x = NEWEST; x++; post(1, prepare, x, FILLER, 0); x = 0 }
#ifdef THREE
#ifdef THREE
	:: atomic { e == epoch && HELD == s && OLDER(2) -> x = NEWEST; x++; post(2, prepare, x, FILLER, 0); x = 0 }
#endif
#endif
	/* Rank 0 may be seen that can no longer be armed, as a late order of an earlier start has it prepare a newer map. */
	:: atomic { e == epoch && HELD == s && NEWER(0) -> safe = safe | 1 }
	:: atomic { e == epoch && HELD == s && NEWER(1) -> safe = safe | 2 }
#ifdef THREE
#ifdef THREE
	:: atomic { e == epoch && HELD == s && NEWER(2) -> safe = safe | 4 }
#endif
#endif
#ifdef EARLYDISARM
#define MAYDISARM (true)
#else
#define MAYDISARM (safe != 0)
#endif
	:: atomic { e == epoch && HELD == s && MAYDISARM && ARMED(1, s) -> x = rank[1].armed; post(1, disarm, x, 0, 0); x = 0 }
#ifdef THREE
#ifdef THREE
	:: atomic { e == epoch && HELD == s && MAYDISARM && ARMED(2, s) -> x = rank[2].armed; post(2, disarm, x, 0, 0); x = 0 }
#endif
#endif
#ifdef ABANDON
	:: atomic { e == epoch && HELD == s && rank[1].armed == 0 AND3(rank[2].armed == 0) -> post(HOLDER, go, 0, 0, s) }
#else
	:: atomic { e == epoch && HELD == s && (safe & ALL) == ALL -> post(HOLDER, go, 0, 0, s) }
#endif
	od;
	atomic { dead = 0; seen = 0; safe = 0; v = 0; s = 0 }
}

/* The leader makes one switch after the other, until TRIES are used up or too few steps are left. */
proctype Leader() {
	byte v, s, e, dead, seen, safe, x, me = 1, free = 0;
	byte base = 0;  /* switches up to this one are not of this start */
	byte given = 0; /* the highest version that this start gave to a map */
again:
	atomic { e = epoch; s = 0; v = 0; seen = 0 };
	do
	:: e != epoch -> goto again
	:: step >= LAST - 1 && HELD == 0 -> goto over
	:: atomic { e == epoch && HELD != 0 -> s = HELD; goto settling }
	:: e == epoch && HELD == 0 && step < LAST - 1 -> break
	:: DIES -> goto dies
	od;
	/* Prepare a new map on every rank. */
	atomic {
		if :: tries == TRIES -> goto over :: else -> tries++ fi;
		v = NEWEST; v = ABOVE(v); v = UNUSED(v); v = NEXT(v); given = v
	};
	do
	:: e != epoch -> goto again
	:: HAS(0, v) && HAS(1, v) AND3(HAS(2, v)) -> break
	:: atomic { e == epoch && rank[0].prepared < v && rank[0].armed == 0 -> post(0, prepare, v, tries, 0) }
	:: atomic { e == epoch && rank[1].prepared < v && rank[1].armed == 0 -> post(1, prepare, v, tries, 0) }
#ifdef THREE
#ifdef THREE
	:: atomic { e == epoch && rank[2].prepared < v && rank[2].armed == 0 -> post(2, prepare, v, tries, 0) }
#endif
#endif
	:: rank[0].prepared >= v && !HAS(0, v) || rank[1].prepared >= v && !HAS(1, v) OR3(rank[2].prepared >= v && !HAS(2, v)) -> goto again
	:: rank[0].armed != 0 || rank[1].armed != 0 OR3(rank[2].armed != 0) || HELD != 0 -> goto again
	/* Give the switch up, as ranks do not answer. */
	:: tries < TRIES -> goto again
	:: DIES -> goto dies
	od;
	/* Have a later step held. */
	atomic { s = AHEAD; if :: s > LAST -> goto over :: else -> free = s + 1 fi };
#ifndef NOHOLD
	do
	:: e != epoch -> goto again
	:: HELD == s -> break
	:: atomic { HELD == 0 && step >= s -> s = AHEAD; if :: s > LAST -> goto over :: else -> free = s + 1 fi }
	:: HELD != 0 && HELD != s -> goto again
	:: atomic { e == epoch && HELD == 0 && step < s -> post(HOLDER, hold, 0, 0, s) }
	:: DIES -> goto dies
	od;
#endif
	/* Arm the other ranks, then rank 0. */
	do
	:: e != epoch || step >= s -> goto again
	:: atomic { e == epoch && ARMED(1, s) && rank[1].armed == v -> seen = seen | 2 }
#ifdef THREE
#ifdef THREE
	:: atomic { e == epoch && ARMED(2, s) && rank[2].armed == v -> seen = seen | 4 }
#endif
#endif
#ifdef EARLYGO
	:: seen != 0 && ARMED(0, s) -> break
#else
	:: seen == ALL && ARMED(0, s) && rank[0].armed == v -> break
#endif
	:: atomic { e == epoch && rank[1].armed == 0 && HAS(1, v) -> post(1, arm, v, 0, s) }
#ifdef THREE
#ifdef THREE
	:: atomic { e == epoch && rank[2].armed == 0 && HAS(2, v) -> post(2, arm, v, 0, s) }
#endif
#endif
#if defined(EARLYOWN) || defined(EARLYGO)
	:: atomic { e == epoch && rank[0].armed == 0 -> post(0, arm, v, 0, s) }
#else
	:: atomic { e == epoch && seen == ALL && rank[0].armed == 0 -> post(0, arm, v, 0, s) }
#endif
	/* Another process has prepared a newer version. */
	:: atomic { HELD == s && (rank[1].prepared > v OR3(rank[2].prepared > v)) -> goto settling }
	:: DIES -> goto dies
	od;
	do
	:: e != epoch || HELD != s -> goto again
	:: atomic { e == epoch && HELD == s -> post(HOLDER, go, 0, 0, s) }
	:: DIES -> goto dies
	od;
settling:
	settle();
	goto again;
dies:
	/* With TRIES of 2 at most, a start that leaves a try over began one switch: its held step is at most two ahead. */
	atomic { me = 2; base = tries; given = 0; v = 0; seen = 0; free = step + 3; goto again };
over:
	/* The leader keeps running to bring the group out of a step that a late hold order holds. */
end:
	do
	:: atomic { HELD != 0 -> goto again }
	od;
}

/* The deputy may bring the group out of a held step at any time, as if the leader had timed out. */
proctype Deputy() {
	byte v, s, e, dead, seen, safe, x;
end:
	do
	:: atomic { HELD != 0 -> s = HELD; e = epoch };
		settle()
	od
}

/* All ranks begin a step together. */
inline begin(r) {
	if
	:: rank[r].armed != 0 && rank[r].at == step ->
		rank[r].used = rank[r].armed * 8 + rank[r].target; rank[r].armed = 0; rank[r].at = 0; rank[r].target = 0
	:: else
	fi
}

proctype Group() {
	do
	:: atomic {
		step < LAST && rank[0].held != step + 1 && rank[1].held != step + 1 AND3(rank[2].held != step + 1) ->
		step++;
		begin(0);
		begin(1);
#ifdef THREE
		begin(2);
#endif
		assert(rank[0].used == rank[1].used AND3(rank[1].used == rank[2].used))
	}
	:: atomic { epoch == 1 && step < LAST -> epoch++; clear(0); clear(1);
#ifdef THREE
		clear(2)
#else
		skip
#endif
	}
	:: step == LAST -> break
	od
}

init {
	atomic {
		run Group();
		run Engine(0);
		run Engine(1);
#ifdef THREE
		run Engine(2);
#endif
		run Leader();
#ifndef CALM
		run Deputy()
#endif
	}
}
