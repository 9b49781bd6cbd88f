/* Publishing with lost answers.
 *
 * Two operators publish against the version that they read; an answer may be lost after or before the write, and is settled by reading back the identifier.
 * One daemon adopts what it hears, from the platform or late from a peer, and may restart.
 *
 * Variants that leave a guard out: NOCOND (unconditional publish), NOSETTLE (a lost answer is taken for a
 * failure and published anew), NOFLOOR (a daemon adopts lower versions).
 */

#define OPERATORS 2
#define MAXVERSION 3

/* The configuration's head on the platform, and which identifiers wrote which version. */
byte head = 0;
byte writes[OPERATORS];
bool overwritten = false;

/* The daemon. */
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
		/* Put: on the base, with the identifier in the same write. */
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
				:: lost = true  /* lost after it took effect */
				:: lost = false
				fi
#ifndef NOCOND
			:: head != base -> lost = true
#endif
			:: lost = true /* lost on its way there */
			fi
		}
		if
		:: !lost -> break
		:: lost ->
#ifdef NOSETTLE
			skip /* publish anew */
#else
			/* settle: read back the identifier */
			if
			:: writes[i] > 0 -> break
			:: else -> skip
			fi
#endif
		fi
	:: break
	od
}

/* A peer sends what it has, at any time later. */
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
		:: heard = in_flight  /* a peer, perhaps behind */
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
				floor = (heard > floor -> heard : floor) /* witnesses were told before */
#ifndef NOFLOOR
			:: else -> skip
#endif
			fi
		}
	:: adopted > 0 -> adopted = 0 /* a restart: only the witnesses remember the floor */
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
