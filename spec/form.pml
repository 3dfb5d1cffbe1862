/*
 * The first membership of the log.
 *
 * One of three founders asks all for their folders and, when none holds a
 * membership, makes one of these folders, holds it and tells the others. It may
 * stop at any point and begin anew; whoever holds a membership that has not led
 * may tell it again. A message stays available for ever once sent. Disks may be
 * lost WIPES times; the settings go on to name the founders, which is the worst
 * case, since they should do so at the first start only.
 *
 * Checked: at most one membership ever leads, and each quorum that leads holds
 * what an earlier one has committed.
 */

#define NODES 3
#define NONE  0
#ifndef WIPES
#define WIPES 1
#endif
#ifndef MADE
#define MADE 3 /* memberships at most */
#endif

typedef membership { byte folder[NODES]; bool told[NODES]; bool led }

membership made[MADE + 1];  /* from 1 on */
byte count = 0;
byte folder[NODES];    /* number of the folder that an instance has now */
byte holds[NODES];     /* membership in the folder */
bool has[NODES];       /* the folder holds the committed entry */
bool asked[NODES];     /* by the founder, since it began */
byte answer[NODES];    /* folder that was named */
byte wiped = 0;
byte led = NONE;       /* membership that has led */

hidden byte j, voters, kept;

/* ASK: an instance names its folder, unless the folder holds a membership. */
#ifdef MUTATE_ASK_NOBODY
#define EMPTY(n) true
#else
#define EMPTY(n) (holds[n] == NONE)
#endif

/* Only a folder that the membership names may hold it. */
#ifdef MUTATE_ANY_FOLDER
#define NAMED(n, m) true
#else
#define NAMED(n, m) (made[m].folder[n] == folder[n])
#endif

/* TAKE: a folder holds one membership for ever. */
#ifdef MUTATE_OVERWRITE
#define FREE(n) true
#else
#define FREE(n) (holds[n] == NONE)
#endif

inline forget() {
	j = 0;
	do
	:: j < NODES -> asked[j] = false; answer[j] = 0; j++
	:: else -> break
	od;
	j = 0
}

/* The founder with the smallest name: it asks, makes, and may stop at any time. */
proctype founder() {
	byte n;
end:
	do
	:: d_step { holds[0] == NONE && !asked[1] && EMPTY(1) -> asked[1] = true; answer[1] = folder[1] }
	:: d_step { holds[0] == NONE && !asked[2] && EMPTY(2) -> asked[2] = true; answer[2] = folder[2] }
	:: d_step { holds[0] == NONE && asked[1] && asked[2] && count < MADE ->
		count++;
		made[count].folder[0] = folder[0];
		made[count].folder[1] = answer[1];
		made[count].folder[2] = answer[2];
		holds[0] = count;
		forget() }
	:: d_step { asked[1] || asked[2] -> forget() }
	od
}

/* Instance me tells the membership that it holds, takes one, or loses its disk. */
proctype instance(byte me) {
	byte m;
end:
	do
	:: d_step { holds[me] != NONE && !made[holds[me]].led && !(made[holds[me]].told[(me + 1) % NODES] && made[holds[me]].told[(me + 2) % NODES]) ->
		made[holds[me]].told[(me + 1) % NODES] = true;
		made[holds[me]].told[(me + 2) % NODES] = true }
	:: d_step { count >= 1 && made[1].told[me] && FREE(me) && NAMED(me, 1) && holds[me] != 1 -> holds[me] = 1 }
	:: d_step { count >= 2 && made[2].told[me] && FREE(me) && NAMED(me, 2) && holds[me] != 2 -> holds[me] = 2 }
	:: d_step { count >= 3 && made[3].told[me] && FREE(me) && NAMED(me, 3) && holds[me] != 3 -> holds[me] = 3 }
	:: d_step { wiped < WIPES ->
		wiped++;
		folder[me]++;
		holds[me] = NONE;
		has[me] = false;
		if :: me == 0 -> forget() :: else fi }
	od
}

/* A quorum of a membership elects a leader, which commits with that quorum. */
inline lead(m, a, b) {
	d_step { holds[a] == m && holds[b] == m && NAMED(a, m) && NAMED(b, m) ->
		assert(led == NONE || led == m);       /* one membership */
		assert(led == NONE || has[a] || has[b]); /* what was committed is there */
		led = m;
		made[m].led = true;
		has[a] = true;
		has[b] = true }
}

proctype log() {
end:
	do
	:: lead(1, 0, 1)
	:: lead(1, 0, 2)
	:: lead(1, 1, 2)
	:: lead(2, 0, 1)
	:: lead(2, 0, 2)
	:: lead(2, 1, 2)
	:: lead(3, 0, 1)
	:: lead(3, 0, 2)
	:: lead(3, 1, 2)
	od
}

init {
	atomic { run founder(); run instance(0); run instance(1); run instance(2); run log() }
}
