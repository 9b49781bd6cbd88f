/* Switching the expert map of a group whose engines take orders without fences.
 *
 * The process beside rank 0 leads. It has a map prepared everywhere, sets a hold on its own rank ahead of a step, has
 * every rank armed for that step, and releases the hold. Orders stay in flight for ever once sent: each may come late,
 * doubled, after newer ones, or not at all. The leader may die at any point and start anew with no memory; a deputy may
 * at any time believe that it is dead and complete what it sees. A rank's report is read as it is. An order carries the
 * rank's number of orders begun as its precondition. The group ends its epoch at most once, which clears all ranks.
 *
 * Variants that leave a guard out: NOHOLD (arms are sent without a hold), EARLYGO (the hold is released before all ranks
 * were seen armed), NOPRECONDITION (orders carry none), SAMEVERSION (a leader that starts anew gives a version again, for
 * another map), STALEEPOCH (orders carry no epoch), ABANDON (a leader that starts anew releases a hold that it finds).
 */

#define RANKS 2
#ifndef LAST
#define LAST 4
#endif

/* The group's passes go to LAST. */
#ifndef FLIGHT
#define FLIGHT 2
#endif

mtype = { prepare, arm, disarm, hold, go };

typedef Rank {
	byte had;      /* the highest version ever prepared */
	byte prepared; /* version copied whole, 0 for none */
	byte content;  /* whose map that is */
	byte armed;    /* version to switch to, 0 for none */
	byte at;       /* at this step */
	byte content_armed;
	byte held;     /* step that does not begin, 0 for none */
	byte used;     /* content of the map in use, 0 for the first */
	byte seq
}
Rank rank[RANKS];

byte step = 0;
byte epoch = 1;

/* op, version or step, content, step, precondition, epoch */
chan flight0 = [FLIGHT] of { mtype, byte, byte, byte, byte, byte };
chan flight1 = [FLIGHT] of { mtype, byte, byte, byte, byte, byte };

#ifdef NOPRECONDITION
#define FITS(r, pre) (true)
#else
#define FITS(r, pre) (rank[r].seq == pre)
#endif
#ifdef STALEEPOCH
#define CURRENT(e) (true)
#else
#define CURRENT(e) (e == epoch)
#endif

inline post(to, what, value, owner, when) {
	if
	:: to == 0 && nfull(flight0) -> flight0!what, value, owner, when, rank[0].seq, epoch
	:: to == 1 && nfull(flight1) -> flight1!what, value, owner, when, rank[1].seq, epoch
	:: to == 0 && full(flight0)
	:: to == 1 && full(flight1)
	fi
}

inline keep(r) {
	if
	:: r == 0 -> flight0!op, a, b, c, pre, e
	:: r == 1 -> flight1!op, a, b, c, pre, e
	fi
}

inline clear(r) {
	rank[r].had = 0; rank[r].prepared = 0; rank[r].content = 0; rank[r].armed = 0; rank[r].at = 0;
	rank[r].content_armed = 0; rank[r].held = 0; rank[r].used = 0; rank[r].seq = 0
}

inline carry(r) {
	if
	:: !CURRENT(e) || !FITS(r, pre)
	:: else ->
		if
		:: op == prepare && a > rank[r].had && rank[r].armed == 0 ->
			rank[r].had = a; rank[r].prepared = a; rank[r].content = b; rank[r].seq++
		:: op == arm && rank[r].prepared == a && c > step && rank[r].armed == 0 ->
			rank[r].armed = a; rank[r].at = c; rank[r].content_armed = rank[r].content; rank[r].seq++
		:: op == disarm && rank[r].armed == a && a != 0 ->
			rank[r].armed = 0; rank[r].at = 0; rank[r].content_armed = 0; rank[r].seq++
		:: op == hold && c > step && rank[r].held == 0 ->
			rank[r].held = c; rank[r].seq++
		:: op == go && rank[r].held == c ->
			rank[r].held = 0; rank[r].seq++
		:: else
		fi
	fi
}


/* An order that arrives is carried out, carried out and kept to come again, or overtaken by later ones. */
proctype Engine(byte r) {
	mtype op; byte a, b, c, pre, e;
end:
	do
	:: atomic {
		(r == 0 && nempty(flight0)) || (r == 1 && nempty(flight1)) ->
		if
		:: r == 0 -> flight0?op, a, b, c, pre, e
		:: r == 1 -> flight1?op, a, b, c, pre, e
		fi;
		if
		:: true -> carry(r)
		:: true -> carry(r); keep(r)
		:: true -> keep(r)
		fi;
		op = 0; a = 0; b = 0; c = 0; pre = 0; e = 0
	}
	od
}

#define ARMED(r, s) (rank[r].armed != 0 && rank[r].at == s)
#define ALL(s) (ARMED(0, s) && ARMED(1, s) && rank[0].armed == rank[1].armed)
#define ANY(s) (ARMED(0, s) || ARMED(1, s))
#ifdef SAMEVERSION
#define HAS(r, v) (rank[r].prepared == v)
#else
#define HAS(r, v) (rank[r].prepared == v && rank[r].content == me)
#endif
#define NEWEST (rank[0].had > rank[1].had -> rank[0].had : rank[1].had)
#define EVERYWHERE(v) (rank[0].prepared == v && rank[1].prepared == v && rank[0].content == rank[1].content)

/* The leader: one switch, or the completion of what another start of it left, then it is done. */
proctype Leader(byte me) {
	byte v, s, e;
	bool mine = false;
again:
	atomic { e = epoch; s = 0; v = 0 };
	do
	:: e != epoch -> goto again
	:: step >= LAST - 1 && rank[0].held == 0 -> goto over
	/* A hold that this start did not set: complete it with what is armed, or with a map of its own. */
#ifdef ABANDON
	:: atomic { e == epoch && rank[0].held != 0 && !mine -> post(0, go, 0, 0, rank[0].held) }
#else
	:: atomic { e == epoch && rank[0].held != 0 && !mine -> s = rank[0].held; goto resolve }
#endif
	:: e == epoch && rank[0].held == 0 && step < LAST - 1 -> break
	:: me == 1 -> goto dies
	od;
	/* Prepare a map of its own everywhere. */
	v = NEWEST + 1;
	do
	:: e != epoch -> goto again
	:: HAS(0, v) && HAS(1, v) -> break
	:: atomic { e == epoch && !HAS(0, v) && rank[0].had < v && rank[0].armed == 0 -> post(0, prepare, v, me, 0) }
	:: atomic { e == epoch && !HAS(1, v) && rank[1].had < v && rank[1].armed == 0 -> post(1, prepare, v, me, 0) }
	:: e == epoch && (rank[0].had >= v && !HAS(0, v) || rank[1].had >= v && !HAS(1, v)) -> goto again
	:: rank[0].armed != 0 || rank[1].armed != 0 -> goto again
	:: me == 1 -> goto dies
	od;
	/* Hold a step ahead. */
	atomic { s = step + 2; if :: s > LAST -> goto over :: else fi };
#ifndef NOHOLD
	do
	:: e != epoch -> goto again
	:: rank[0].held == s -> break
	:: atomic { step >= s -> s = step + 2; if :: s > LAST -> goto over :: else fi }
	:: rank[0].held != 0 && rank[0].held != s -> goto again
	:: atomic { e == epoch && rank[0].held == 0 && step < s -> post(0, hold, 0, 0, s) }
	:: me == 1 -> goto dies
	od;
	mine = true;
#endif
	/* Arm all ranks. */
arming:
	do
	:: e != epoch -> mine = false; goto again
	:: atomic { e == epoch && ARMED(0, s) ->
#ifndef EARLYGO
		if
		:: ARMED(1, s) && rank[1].armed == rank[0].armed -> break
		:: else
		fi
#else
		break
#endif
	}
	:: atomic { e == epoch && rank[0].armed == 0 && step < s -> post(0, arm, v, 0, s) }
	:: atomic { e == epoch && rank[1].armed == 0 && step < s -> post(1, arm, v, 0, s) }
	:: step >= s -> break
	:: me == 1 -> goto dies
	od;
	do
	:: e != epoch -> mine = false; goto again
	:: rank[0].held != s -> goto over
	:: atomic { e == epoch && rank[0].held == s -> post(0, go, 0, 0, s) }
	:: me == 1 -> goto dies
	od;
resolve:
	do
	:: e != epoch -> goto again
	:: rank[0].held != s -> goto again
	/* Reports are read one after the other. */
	:: atomic { e == epoch && ARMED(0, s) -> v = rank[0].armed };
		if
		:: atomic { e == epoch && ARMED(1, s) && rank[1].armed == v -> post(0, go, 0, 0, s) }
		:: else
		fi
	:: atomic { e == epoch && rank[0].held == s && ARMED(0, s) && !ARMED(1, s) && EVERYWHERE(rank[0].armed) ->
		post(1, arm, rank[0].armed, 0, s) }
	:: atomic { e == epoch && rank[0].held == s && ARMED(1, s) && !ARMED(0, s) && EVERYWHERE(rank[1].armed) ->
		post(0, arm, rank[1].armed, 0, s) }
	:: atomic { e == epoch && ANY(s) && !ALL(s) && rank[0].armed != 0 && !EVERYWHERE(rank[0].armed) ->
		post(0, disarm, rank[0].armed, 0, 0) }
	:: atomic { e == epoch && ANY(s) && !ALL(s) && rank[1].armed != 0 && !EVERYWHERE(rank[1].armed) ->
		post(1, disarm, rank[1].armed, 0, 0) }
	:: atomic { e == epoch && rank[0].armed == 0 && rank[1].armed == 0 && rank[0].held == s -> v = NEWEST + 1 };
		do
		:: e != epoch -> goto again
		:: HAS(0, v) && HAS(1, v) && rank[0].armed == 0 && rank[1].armed == 0 -> goto arming
		:: rank[0].armed != 0 || rank[1].armed != 0 -> break
		:: rank[0].held != s -> break
		:: atomic { e == epoch && !HAS(0, v) && rank[0].had < v -> post(0, prepare, v, me, 0) }
		:: atomic { e == epoch && !HAS(1, v) && rank[1].had < v -> post(1, prepare, v, me, 0) }
		:: e == epoch && (rank[0].had >= v && !HAS(0, v) || rank[1].had >= v && !HAS(1, v)) -> break
		od
	od;
dies:
	run Leader(2);
	goto dead;
over:
	/* It lives on and completes what a late order brings. */
end:
	do
	:: atomic { rank[0].held != 0 -> mine = false; goto again }
	od;
dead:
	skip
}

/* A deputy completes a switch that it sees under way, whenever it believes that the leader is silent. */
proctype Deputy() {
	byte s, v, e;
end:
	do
	:: atomic { rank[0].held != 0 && ANY(rank[0].held) -> s = rank[0].held; e = epoch;
		if :: ARMED(0, s) -> v = rank[0].armed :: else -> v = rank[1].armed fi };
		do
		:: e != epoch || rank[0].held != s -> break
		:: atomic { e == epoch && rank[0].held == s && rank[0].armed == 0 && EVERYWHERE(v) -> post(0, arm, v, 0, s) }
		:: atomic { e == epoch && rank[0].held == s && rank[1].armed == 0 && EVERYWHERE(v) -> post(1, arm, v, 0, s) }
		:: atomic { e == epoch && ARMED(0, s) && rank[0].armed == v };
			if
			:: atomic { e == epoch && ARMED(1, s) && rank[1].armed == v -> post(0, go, 0, 0, s) }
			:: else
			fi
		:: break
		od
	od
}

/* A pass is begun by all ranks together. */
proctype Group() {
	do
	:: atomic {
		step < LAST && rank[0].held != step + 1 && rank[1].held != step + 1 ->
		step++;
		if
		:: rank[0].armed != 0 && rank[0].at == step ->
			rank[0].used = rank[0].armed * 8 + rank[0].content_armed; rank[0].armed = 0; rank[0].at = 0; rank[0].content_armed = 0
		:: else
		fi;
		if
		:: rank[1].armed != 0 && rank[1].at == step ->
			rank[1].used = rank[1].armed * 8 + rank[1].content_armed; rank[1].armed = 0; rank[1].at = 0; rank[1].content_armed = 0
		:: else
		fi;
		assert(rank[0].used == rank[1].used)
	}
	:: atomic {
		epoch == 1 && step < LAST ->
		epoch++;
		clear(0);
		clear(1)
	}
	:: step == LAST -> break
	od
}

init {
	atomic {
		run Group();
		run Engine(0);
		run Engine(1);
		run Leader(1);
		run Deputy()
	}
}
