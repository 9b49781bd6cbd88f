/* Publishes a configuration when answers may be lost.
 *
 * Two operators publish conditionally on the version that they read. An answer may be lost before or after the write
 * takes effect; the operator then finds out which by reading back its publish identifier. One daemon adopts the
 * versions that it receives, from the platform or late from a peer, and may restart.
 *
 * Variants that each leave out one guard: NOCOND (unconditional publish), NOSETTLE (a lost answer is treated as a
 * failure and the publish is retried), NOFLOOR (the daemon adopts lower versions).
 */

#define OPERATORS 2
#define MAXVERSION 3

/* The newest version on the platform, and how many writes each operator has made; an operator has one identifier. */
byte head = 0;
byte writes[OPERATORS];
bool overwritten = false;

/* The daemon. The floor is the highest version that it has adopted; witnesses keep it over a restart. */
byte adopted = 0;
byte floor = 0;
bool reverted = false;
byte in_flight = 0;
bool peer_down = false;

proctype Operator(byte i) {
	byte base, tries;
	bool lost;
	do
	:: tries < 2 && head < MAXVERSION ->
		tries++;
		base = head;
		/* Conditional put on the base version, with the identifier in the same write. */
		atomic {
			if
#ifdef NOCOND
			:: true ->
				if
				:: head > base -> overwritten = true
				:: else -> skip
				fi;
				head = base + 1;
#else
			:: head == base ->
				head = base + 1;
#endif
				writes[i]++;
				if
				:: lost = true  /* the answer is lost after the write took effect */
				:: lost = false
				fi
#ifndef NOCOND
			:: head != base -> lost = true
#endif
			:: lost = true /* the request is lost before the write */
			fi
		}
		if
		:: !lost -> break
		:: lost ->
#ifdef NOSETTLE
			skip /* publish again */
#else
			/* settle: read back the identifier to learn whether the write took effect */
			if
			:: writes[i] > 0 -> break
			:: else -> skip
			fi
#endif
		fi
	:: break
	od
}

/* A peer passes on versions in order, any time after they were published; in_flight is the newest one passed on. */
proctype Peer() {
	do
	:: in_flight < head && !peer_down -> in_flight = in_flight + 1
	:: break
	od
}

proctype Daemon() {
	byte heard, n;
	do
	:: n < 3 ->
		n++;
		if
		:: heard = head       /* the platform */
		:: heard = in_flight  /* a peer, whose version may be stale */
		fi;
		atomic {
			if
#ifndef NOFLOOR
			:: heard > adopted && heard >= floor ->
#else
			:: true ->
#endif
				if
				:: heard < floor -> reverted = true
				:: else -> skip
				fi;
				adopted = heard;
				floor = (heard > floor -> heard : floor) /* the witnesses store the floor before the daemon adopts */
#ifndef NOFLOOR
			:: else -> skip
#endif
			fi
		}
	:: adopted > 0 -> adopted = 0 /* restart: adopted is lost, the floor is kept by the witnesses */
	:: break
	od
}

init {
	atomic {
		run Operator(0);
		run Operator(1);
		run Peer();
		run Daemon();
	}
}

ltl once { [] (writes[0] <= 1 && writes[1] <= 1) }
ltl not_overwritten { [] !overwritten }
ltl never_reverts { [] !reverted }
