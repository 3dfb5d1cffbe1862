/*
 * Pre-vote and the quorum check of a leader.
 *
 * One of three nodes is cut off from both others and returns, as often as it
 * likes and for as long as it likes. A leader that hears a quorum must never
 * be deposed by the one that returns, and a node that is cut off must stop
 * leading. Logs are equal here; log.pml checks that elections are safe with
 * any logs and without any of this.
 */

#define NODES 3
#define NONE  3
#ifndef TERMS
#define TERMS 6
#endif

byte term[NODES];
bool heard[NODES];   /* a leader was heard within the election timeout */
byte leader = 0;     /* NONE when nobody leads */
byte cut = NONE;

hidden byte j, willing;

/* A quorum, the leader among it, holds the leader for alive. */
#define SUPPORTED (heard[0] + heard[1] + heard[2] >= 2 && heard[leader])

#define REACHES(a, b) ((a) == (b) || ((a) != cut && (b) != cut))

/* agree sets willing to the number of nodes that would elect n. */
inline agree(n) {
	willing = 0; j = 0;
	do
	:: j < NODES ->
		if
#ifdef MUTATE_PREVOTE_WHILE_LED
		:: REACHES(n, j) && term[j] <= term[n] -> willing++
#else
		:: REACHES(n, j) && term[j] <= term[n] && !heard[j] -> willing++
#endif
		:: else
		fi;
		j++
	:: else -> break
	od;
	j = 0
}

/* raise lets node n stand for election in a new term. */
inline raise(n) {
	term[n]++;
	j = 0;
	do
	:: j < NODES ->
		if
		:: j != n && REACHES(n, j) && term[j] < term[n] ->
			assert(leader != j || !SUPPORTED);
			term[j] = term[n];
			if :: leader == j -> leader = NONE :: else fi
		:: else
		fi;
		j++
	:: else -> break
	od;
	j = 0
}

proctype node(byte me) {
end:
	do
	/* A heartbeat of the leader arrives; the leader hears the answer. */
	:: d_step { leader != NONE && leader != me && REACHES(leader, me) && term[me] <= term[leader] ->
		term[me] = term[leader];
		heard[me] = true }

	/* A leader that meets a newer term steps down. A quorum must have missed it. */
	:: d_step { leader != NONE && leader != me && REACHES(leader, me) && term[me] > term[leader] ->
		assert(!SUPPORTED);
		leader = NONE }

	/* The election timeout ran out: no heartbeat could arrive. */
	:: d_step { heard[me] && leader != me && (leader == NONE || !REACHES(leader, me)) -> heard[me] = false }

	/* A refusal names a newer term. */
	:: d_step { leader != me && REACHES(me, (me + 1) % NODES) && term[(me + 1) % NODES] > term[me] ->
		term[me] = term[(me + 1) % NODES] }
	:: d_step { leader != me && REACHES(me, (me + 2) % NODES) && term[(me + 2) % NODES] > term[me] ->
		term[me] = term[(me + 2) % NODES] }

	/* Stand for election. */
	:: d_step { leader != me && !heard[me] && term[me] < TERMS ->
#ifdef MUTATE_NO_PREVOTE
		raise(me);
#else
		agree(me);
		if :: willing >= 2 -> raise(me) :: else fi;
#endif
		/* Votes follow the same reach. */
		agree(me);
		if
		:: willing >= 2 && (leader == NONE || term[leader] < term[me]) && me != cut ->
			leader = me; heard[me] = true
		:: else
		fi;
		willing = 0 }

	/* The quorum check: a leader that is cut off steps down. */
	:: d_step { leader == me && cut == me -> leader = NONE; heard[me] = false }
	od
}

/* The network cuts one node off and heals. A node that returns has forgotten the leader. */
proctype network() {
end:
	do
	:: d_step { cut == NONE -> cut = 0 }
	:: d_step { cut == NONE -> cut = 1 }
	:: d_step { cut == NONE -> cut = 2 }
	:: d_step { cut != NONE -> cut = NONE }
	od
}

init {
	atomic {
		term[0] = 1; term[1] = 1; term[2] = 1;
		heard[0] = true; heard[1] = true; heard[2] = true;
		run node(0); run node(1); run node(2); run network()
	}
}
