/*
 * The claim of a non-idempotent request.
 *
 * A caller sends one request with one idempotency key, and resends it through
 * any router as often as it likes. A router proposes a claim to the leader of
 * the replicated log. The claim is appended, then committed or cut off by a
 * new leader; the router may lose the answer, restart and come back. Only the
 * router whose own attempt the committed claim names may hand the request to
 * an upstream.
 *
 * The log is the prefix that is committed and a tail that a new leader may cut
 * anywhere. Messages may be late and doubled: a proposal may be appended twice,
 * and a router may get an answer at any later time.
 */

#ifndef ROUTERS
#define ROUTERS 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2 /* per router */
#endif
#ifndef LEN
#define LEN 4
#endif

/* Commands, one byte: the kind and the attempt. */
#define CLAIM     16
#define FINISH    32
#define ABANDON   48
#define INTERRUPT 64

#define KIND(c)    ((c) & 240)
#define ATTEMPT(c) ((c) & 15)

/* State of the key in the state machine. */
#define FREE        0
#define HELD        1
#define ANSWERED    2
#define INTERRUPTED 3

/* State of one attempt of a router. */
#define IDLE       0
#define PROPOSED   1
#define DISPATCHED 2
#define ENDED      3
#define NOTRUN     4 /* the caller was told that it has not run */

byte entries[LEN];
byte appended;
byte committed;

/* The state machine, advanced over the committed prefix. */
byte applied;
byte key;
byte holder;
byte answers; /* bit of each attempt that was told that it holds the key; the answer may come late */

byte state[ROUTERS];
byte attempt[ROUTERS]; /* number of the current attempt, unique over restarts */
byte next = 1;

byte dispatches;      /* how often an upstream was handed the request */
byte told;            /* bit of each attempt of which a caller was told that it has not run */

/* A committed command takes effect in order. */
proctype machine() {
end:
	do
	:: atomic { appended > committed -> committed++ }
	:: d_step { appended > committed -> appended--; entries[appended] = 0 } /* a new leader cut the tail */
	:: d_step { applied < committed ->
		if
		:: KIND(entries[applied]) == CLAIM && key == FREE ->
			key = HELD; holder = ATTEMPT(entries[applied]); answers = answers | (1 << holder)
#ifdef MUTATE_RECLAIM
		:: KIND(entries[applied]) == CLAIM && key == INTERRUPTED ->
			key = HELD; holder = ATTEMPT(entries[applied]); answers = answers | (1 << holder)
#endif
		:: KIND(entries[applied]) == FINISH && (key == HELD || key == INTERRUPTED) && holder == ATTEMPT(entries[applied]) ->
			key = ANSWERED
		:: KIND(entries[applied]) == ABANDON && (key == HELD || key == INTERRUPTED) && holder == ATTEMPT(entries[applied]) ->
			key = FREE; holder = 0
		:: KIND(entries[applied]) == INTERRUPT && key == HELD && holder == ATTEMPT(entries[applied]) ->
			key = INTERRUPTED
		:: else
		fi;
		applied++ }
	od
}

/* granted tells that the router's own attempt holds the key. */
#ifdef MUTATE_DISPATCH_EARLY
#define GRANTED(r) (appended > 0 && entries[appended - 1] == CLAIM + attempt[r] && key == FREE)
#else
#ifdef MUTATE_ANY_ATTEMPT
#define GRANTED(r) (key == HELD)
#else
#define GRANTED(r) (answers & (1 << attempt[r]))
#endif
#endif

/* waiting tells that the router may still use an answer: nobody was told otherwise. */
#ifdef MUTATE_USE_LATE_ANSWER
#define WAITING(r) (state[r] == PROPOSED || state[r] == NOTRUN)
#else
#define WAITING(r) (state[r] == PROPOSED)
#endif

proctype router(byte me) {
end:
	do
	/* The caller sends or resends; each try is a new attempt. */
	:: d_step { state[me] != PROPOSED && state[me] != DISPATCHED && next <= ROUTERS * ATTEMPTS ->
		attempt[me] = next;
		next++;
		state[me] = PROPOSED }

	/* The proposal reaches the leader, perhaps more than once. */
	:: d_step { state[me] == PROPOSED && appended < LEN ->
		entries[appended] = CLAIM + attempt[me];
		appended++ }

	/* The committed claim names this attempt: hand the request over, once. */
	:: d_step { WAITING(me) && GRANTED(me) ->
		state[me] = DISPATCHED;
		dispatches++;
		assert(dispatches <= 1);
		assert(!(told & (1 << attempt[me]))) }

	/* Another attempt holds the key, the outcome stays unknown or the caller went away: no byte leaves. */
	:: d_step { state[me] == PROPOSED ->
		state[me] = NOTRUN;
		told = told | (1 << attempt[me]) }

	/* A claim that may be committed and was not used is given back. */
	:: d_step { state[me] == NOTRUN && appended < LEN ->
		entries[appended] = ABANDON + attempt[me];
		appended++ }
#ifdef MUTATE_ABANDON_LATE
	:: d_step { state[me] == DISPATCHED && appended < LEN ->
		entries[appended] = ABANDON + attempt[me];
		appended++;
		state[me] = ENDED }
#endif

	/* The answer is kept. */
	:: d_step { state[me] == DISPATCHED && appended < LEN ->
		entries[appended] = FINISH + attempt[me];
		appended++;
		state[me] = ENDED }

	/* A crash: the router forgets the attempt. */
	:: d_step { state[me] == PROPOSED || state[me] == DISPATCHED -> state[me] = IDLE; attempt[me] = 0 }

	/* Any instance may declare a holder lost, rightly or wrongly. */
	:: d_step { key == HELD && appended < LEN ->
		entries[appended] = INTERRUPT + holder;
		appended++ }
	od
}

init {
	atomic {
		run machine();
		run router(0);
		run router(1)
	}
}
