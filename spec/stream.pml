/*
 * The software version at which a stream goes on.
 *
 * A stream begins on a router at one of two versions of the upstreams of a
 * service, breaks off, and is taken up at any router, any number of times. The
 * first version is in service alone; a second one joins it; the first one leaves,
 * is forgotten, and may come back. Routers and holders hear of each change late,
 * and each at a time of its own. Routers may lose their memory, one after another
 * or all at once; so may holders.
 *
 * While a router knows one version it records nothing. Once it knows two, it
 * sends the record of its living stream to two of the holders, and a stream of a
 * later version begins only after both have acknowledged its record. A message
 * may be late for ever, and is lost with its sender.
 *
 * Checked: a stream goes on at the version that began it, or is refused; and a
 * stream whose router lives and has told two holders is not refused by one that
 * hears all holders.
 */

#define ROUTERS 2 /* the stream begins on the first, since they are alike */
#define HOLDERS 3
#ifndef ROUTER_LOSSES
#define ROUTER_LOSSES 2
#endif
#ifndef HOLDER_LOSSES
#define HOLDER_LOSSES 2
#endif

/* Phases of the service. */
#define FIRST   0 /* the first version is alone, and everybody knows that */
#define SECOND  1 /* the second one is announced; a stream without a record may have begun before */
#define FORGET  2 /* the first version was last announced long ago; no stream of it lives */
#define RETURN  3 /* the first version is announced again */

/* The phases that a run visits. */
#ifndef START
#define START FIRST
#endif
#ifndef LAST
#define LAST SECOND
#endif

/* What an instance knows of the versions, in the order of their first announcement. */
#define NONE 0 /* nothing yet: it has just started */
#define ONE  1 /* the first */
#define BOTH 2 /* the first and the second */
#define TWO  3 /* the second */
#define BACK 4 /* the second and, anew, the first */

/* State of the stream. */
#define IDLE    0
#define WAITING 1 /* its first event waits for holders */
#define BEGUN   2

byte phase = START;
byte view[ROUTERS];
byte known[HOLDERS];       /* the view of a holder */
byte born[HOLDERS];        /* phase in which its memory began */
byte rec[HOLDERS];         /* version in its record of the stream, or 0 */
bool kept;                 /* the first router has its memory of the stream, which it began */
byte unsent;               /* bit of each holder to which it still has to send the record */
byte stream = IDLE;
byte version;              /* that began the stream */
byte waits;                /* bit of each holder that has to acknowledge it first */
byte routerLosses = 0;
byte holderLosses = 0;

hidden byte h, merged, denials, result;

#define BIT(n) (1 << (n))

/* RECORDS: a router that knows one version for certain records nothing. */
#define RECORDS(r) (view[r] != ONE && view[r] != TWO)

/* KEPT_FIRST: one that has not forgotten the first version keeps its place when it comes back. */
#ifdef MUTATE_KEEP_FIRST
#define KEPT_FIRST true
#else
#define KEPT_FIRST false
#endif

/* Versions in service, as far as a router may have heard. */
#define SERVES(r, v) \
	(v == 1 && (view[r] == ONE || view[r] == BOTH && (phase <= SECOND || KEPT_FIRST && phase == RETURN) || view[r] == BACK || view[r] == NONE && (phase <= SECOND || phase == RETURN)) \
	|| v == 2 && (view[r] >= BOTH || view[r] == NONE && phase >= SECOND))

/* SETTLED: the first version was alone for long enough that all know that. Otherwise two routers may take another one for the first. */
#ifdef MUTATE_UNSETTLED
#define SETTLED true
#else
#define SETTLED (START == FIRST)
#endif
#define FIRST_OF(r) (START == SECOND && r == 0 -> 2 : 1)

/* MUST_WAIT: a stream without a record might be taken for one of another version. */
#define MUST_WAIT(r, v) \
	(view[r] == NONE \
	|| view[r] == BOTH && phase <= SECOND && (v != FIRST_OF(r) || !SETTLED) \
	|| view[r] == BACK && v == 1)

/* ACKNOWLEDGED: the first event may leave. */
#ifdef MUTATE_EVENT_EARLY
#define ACKNOWLEDGED true
#else
#ifdef MUTATE_ONE_COPY
#define ACKNOWLEDGED (waits != 3 && waits != 5 && waits != 6)
#else
#define ACKNOWLEDGED (waits == 0)
#endif
#endif

/* QUORUM: two copies and two denials of three overlap in one holder. */
#define QUORUM 2
#ifdef MUTATE_NEAREST
#define SINGLE_QUORUM 1
#else
#define SINGLE_QUORUM QUORUM
#endif

/* INFORMED: a holder that has started anew has heard of all that was announced before. */
#ifdef MUTATE_UNINFORMED_DENIES
#define INFORMED(n) true
#else
#define INFORMED(n) (known[n] >= (born[n] == FIRST -> ONE : (born[n] == RETURN -> BACK : BOTH)))
#endif

/* COMPLETE: the holder has kept its records since before the later version. */
#ifdef MUTATE_YOUNG_DENIES
#define COMPLETE(n, p) true
#else
#define COMPLETE(n, p) (born[n] < p)
#endif

/* A router begins the stream and sends its record to the holders of a set. */
inline begin(r, v, set) {
	d_step { stream == IDLE && r == 0 && SERVES(r, v) ->
		version = v;
		kept = true;
		stream = BEGUN;
		if
		:: RECORDS(r) ->
			unsent = set;
			if
			:: MUST_WAIT(r, v) -> waits = set; stream = WAITING
			:: else
			fi
		:: else
		fi }
}

/* A holder gets the record and acknowledges it. */
inline deliver(n) {
	d_step { me == 0 && (unsent & BIT(n)) ->
		unsent = unsent & ~BIT(n);
		rec[n] = version;
		waits = waits & ~BIT(n) }
}

/* A router learns of a version that is the second one that it knows. */
inline learn(r, set) {
	d_step { (view[r] == ONE && phase >= SECOND || (view[r] == TWO || view[r] == BOTH) && phase == RETURN) ->
		if
		:: view[r] == ONE -> view[r] = BOTH
		:: view[r] == BOTH -> view[r] = (KEPT_FIRST -> BOTH : BACK)
		:: view[r] == TWO -> view[r] = BACK
		fi;
#ifndef MUTATE_SEND_NOTHING
		if :: r == 0 && kept && stream == BEGUN -> unsent = set :: else fi;
#endif
		}
}

/* A router takes the stream up and hears the holders of a set. */
inline takeup(r, set) {
	d_step { stream == BEGUN && view[r] != NONE ->
		result = (r == 0 && kept -> version : 0);
		merged = view[r];
		denials = 0;
		h = 0;
		do
		:: h < HOLDERS ->
			if
			:: (set & BIT(h)) && result == 0 && rec[h] != 0 -> result = rec[h]
			:: (set & BIT(h)) && known[h] == BOTH -> merged = BOTH
			:: (set & BIT(h)) && known[h] != BOTH && merged != BOTH && known[h] > merged -> merged = known[h]
			:: else
			fi;
			h++
		:: else -> break
		od;
		h = 0;
		do
		:: h < HOLDERS ->
			if
			:: (set & BIT(h)) && ((merged == ONE || merged == TWO) && INFORMED(h) || merged == BOTH && COMPLETE(h, SECOND) || merged == BACK && COMPLETE(h, RETURN)) ->
				denials++
			:: else
			fi;
			h++
		:: else -> break
		od;
		if
		:: result != 0
		:: result == 0 && merged == ONE && denials >= SINGLE_QUORUM -> result = 1
		:: result == 0 && merged == TWO && denials >= SINGLE_QUORUM -> result = 2
		:: result == 0 && merged == BOTH && phase <= SECOND && SETTLED && routerLosses > 0 && denials >= QUORUM -> result = FIRST_OF(r)
		:: result == 0 && merged == BACK && phase == RETURN && routerLosses > 0 && denials >= QUORUM -> result = 2
		:: else
		fi;
		assert(result == 0 || result == version);
		/* Not refused for lack of a message that its router should have sent. */
		assert(result != 0 || set != 7 || !kept || !RECORDS(0) || unsent != 0 || holderLosses > 0) }
}

/* A router, its callers and its messages. */
proctype router(byte me) {
end:
	do
	:: begin(me, 1, 3)
	:: begin(me, 2, 3)
	:: deliver(0)
	:: deliver(1)
	:: deliver(2)
	:: d_step { stream == WAITING && me == 0 && ACKNOWLEDGED -> stream = BEGUN; waits = 0 }
	:: learn(me, 3)
	:: learn(me, 5)
	:: learn(me, 6)
	:: d_step { view[me] == BOTH && phase == FORGET -> view[me] = TWO }
	:: takeup(me, 0)
	:: takeup(me, 1)
	:: takeup(me, 2)
	:: takeup(me, 3)
	:: takeup(me, 4)
	:: takeup(me, 5)
	:: takeup(me, 6)
	:: takeup(me, 7)

	/* It ends and starts with empty memory. */
	:: d_step { routerLosses < ROUTER_LOSSES ->
		routerLosses++;
		view[me] = NONE;
		if
		:: me == 0 && stream == WAITING -> stream = IDLE; rec[0] = 0; rec[1] = 0; rec[2] = 0 /* the next one has another name */
		:: else
		fi;
		if
		:: me == 0 -> kept = false; unsent = 0; waits = 0
		:: else
		fi }

	/* It gets the history of a holder. */
	:: d_step { view[me] == NONE && known[0] != NONE -> view[me] = known[0] }
	:: d_step { view[me] == NONE && known[1] != NONE -> view[me] = known[1] }
	:: d_step { view[me] == NONE && known[2] != NONE -> view[me] = known[2] }
#ifdef MUTATE_PARTIAL_HISTORY
	/* It takes the upstreams that it has heard of for all. */
	:: d_step { view[me] == NONE && phase >= SECOND -> view[me] = TWO }
#endif
	od
}

proctype holder(byte me) {
end:
	do
	:: d_step { known[me] == ONE && phase >= SECOND -> known[me] = BOTH }
	:: d_step { known[me] == BOTH && phase == FORGET -> known[me] = TWO }
	:: d_step { (known[me] == TWO || known[me] == BOTH && !KEPT_FIRST) && phase == RETURN -> known[me] = BACK }
	:: d_step { holderLosses < HOLDER_LOSSES -> holderLosses++; known[me] = NONE; born[me] = phase; rec[me] = 0 }

	/* It gets the history of another one. */
	:: d_step { known[me] == NONE && known[(me + 1) % HOLDERS] != NONE -> known[me] = known[(me + 1) % HOLDERS] }
	:: d_step { known[me] == NONE && known[(me + 2) % HOLDERS] != NONE -> known[me] = known[(me + 2) % HOLDERS] }
	od
}

proctype service() {
end:
	do
	:: d_step { phase < LAST && phase != SECOND -> phase++ }
	od
}

init {
	atomic {
		h = 0;
		do
		:: h < ROUTERS -> view[h] = (START == FIRST -> ONE : BOTH); h++
		:: else -> break
		od;
		h = 0;
		do
		:: h < HOLDERS -> known[h] = (START == FIRST -> ONE : BOTH); h++
		:: else -> break
		od;
		h = 0;
		run service();
		run router(0);
		run router(1);
		run holder(0);
		run holder(1);
		run holder(2)
	}
}
