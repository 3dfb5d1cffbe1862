/*
 * Election, commit, membership change and loss of a disk.
 *
 * The network loses, doubles, delays and reorders messages. It is modelled
 * exactly by messages that stay available for ever once sent: the log of the
 * leader of each term (every append message is a prefix of it), the vote
 * request of each candidate, the votes granted and the prefixes acknowledged.
 *
 * An entry is one byte: its term in the high half and the mask of the voters
 * in force in the low half. A node uses the mask of its last entry.
 *
 * Bounds: NODES identities, terms 1 to TERMS, LEN entries, VOTERS the first
 * mask, CHANGES and WIPES how often these happen. With HANDOVER the changes are
 * those of a planned stop: SUCCESSOR is added, LEAVER is removed and then gives up
 * its vote for good. Seeded mutations are
 * named MUTATE_*; each removes one rule and has to be found.
 */

#ifndef NODES
#define NODES 3
#endif
#ifndef TERMS
#define TERMS 4
#endif
#ifndef LEN
#define LEN 3
#endif
#ifndef VOTERS
#define VOTERS 7
#endif
#ifndef CHANGES
#define CHANGES 0
#endif
#ifndef WIPES
#define WIPES 0
#endif

#define ENTRY(t, mask) ((t) * 16 + (mask))
#define TERM_OF(e)     ((e) / 16)
#define MASK_OF(e)     ((e) % 16)
#define AT(t, k)       ((t) * LEN + (k))
#define BOX(t, n)      ((t) * NODES + (n))
#define BIT(n)         (1 << (n))

#define FOLLOWER  0
#define CANDIDATE 1
#define LEADER    2

/* Synced state of each node. */
byte term[NODES];
byte vote[NODES];            /* one more than the candidate, zero for none */
byte entry[NODES * LEN];
byte length[NODES];

/* Volatile state. */
byte role[NODES];
byte known[NODES]; /* entries that a leader has committed in its term */

/* Messages, available for ever. */
byte sent[(TERMS + 1) * LEN]; /* log of the leader of a term */
byte sentLength[TERMS + 1];
byte asked[(TERMS + 1) * NODES]; /* one more than the length of the candidate's log */
byte askedTerm[(TERMS + 1) * NODES];
byte granted[(TERMS + 1) * NODES];
byte acked[(TERMS + 1) * NODES];

/* What the outside saw. */
byte leader[TERMS + 1];
byte committed[LEN];
byte committedIn[LEN]; /* term of the leader that committed first */
byte commit;
byte changes;
byte wipes;
byte retired; /* identities whose disk is gone */

hidden byte j, count, size, members, last, match;

/* majority sets count to how many of members are in set, and size to the quorum. */
inline majority(set) {
	count = 0; size = 0; j = 0;
	do
	:: j < NODES ->
		if
		:: members & BIT(j) -> size++; if :: set & BIT(j) -> count++ :: else fi
		:: else
		fi;
		j++
	:: else -> break
	od;
	size = size / 2 + 1;
	j = 0
}

/* lastOf sets last to the last entry of node n, zero for an empty log. */
inline lastOf(n) {
	if
	:: length[n] > 0 -> last = entry[n * LEN + length[n] - 1]
	:: else -> last = 0
	fi
}

/* append adds an entry to the log of leader n. */
inline append(n, e) {
	entry[n * LEN + length[n]] = e;
	length[n]++;
	sent[AT(term[n], length[n] - 1)] = e;
	sentLength[term[n]] = length[n]
}

/*
 * resign ends the role of node n. Votes and acknowledgements of its term are
 * of no more use to it and are forgotten, which keeps the states few.
 */
inline resign(n) {
	granted[BOX(term[n], n)] = 0;
	if
	:: role[n] == LEADER ->
		j = 0;
		do
		:: j < NODES -> acked[BOX(term[n], j)] = 0; j++
		:: else -> break
		od;
		j = 0
	:: else
	fi;
	role[n] = FOLLOWER;
	known[n] = 0
}

/* adopt moves node n to a newer term. */
inline adopt(n, t) {
	if
	:: t > term[n] -> resign(n); term[n] = t; vote[n] = 0
	:: else
	fi
}

/* Request and answer of a vote. */
#define GRANT(t, c) \
	:: d_step { t <= TERMS && c < NODES && !(retired & BIT(me)) && c != me && \
	   asked[BOX(t, c)] && t >= term[me] && \
	   (t > term[me] || (vote[me] == 0 && role[me] == FOLLOWER)) -> \
		adopt(me, t); \
		lastOf(me); \
		if \
		:: vote[me] == 0 && (askedTerm[BOX(t, c)] > TERM_OF(last) || \
		   (askedTerm[BOX(t, c)] == TERM_OF(last) && asked[BOX(t, c)] > length[me])) -> \
			vote[me] = c + 1; \
			granted[BOX(t, c)] = granted[BOX(t, c)] | BIT(me) \
		:: else \
		fi; \
		last = 0 }

/* Append message: the first k entries of the log of the leader of term t. */
#define ACCEPT(t, k) \
	:: d_step { t <= TERMS && k <= LEN && !(retired & BIT(me)) && sentLength[t] >= k && t >= term[me] && \
	   leader[t] != me + 1 && acked[BOX(t, me)] < k -> \
		adopt(me, t); \
		resign(me); \
		match = 0; \
		do \
		:: match < k && match < length[me] && entry[me * LEN + match] == sent[AT(t, match)] -> match++ \
		:: else -> break \
		od; \
		if \
		:: match < k -> \
			length[me] = k; \
			j = match; \
			do \
			:: j < k -> entry[me * LEN + j] = sent[AT(t, j)]; j++ \
			:: else -> break \
			od; \
			do \
			:: j < LEN -> entry[me * LEN + j] = 0; j++ \
			:: else -> break \
			od \
		:: else \
		fi; \
		if \
		:: term[leader[t] - 1] == t && role[leader[t] - 1] == LEADER -> acked[BOX(t, me)] = k \
		:: else \
		fi; \
		j = 0; match = 0 }

#ifdef MUTATE_COMMIT_OLD
#define OWN_TERM(k) true
#else
#define OWN_TERM(k) (TERM_OF(entry[me * LEN + k - 1]) == term[me])
#endif

/* A leader commits its first k entries once a quorum of its voters holds them. */
#define COMMIT(k) \
	:: d_step { k <= LEN && role[me] == LEADER && length[me] >= k && known[me] < k && OWN_TERM(k) && !(retired & BIT(me)) -> \
		lastOf(me); \
		members = MASK_OF(last); \
		match = BIT(me); \
		j = 0; \
		do \
		:: j < NODES -> if :: acked[BOX(term[me], j)] >= k -> match = match | BIT(j) :: else fi; j++ \
		:: else -> break \
		od; \
		majority(match); \
		if \
		:: count >= size -> \
			j = 0; \
			do \
			:: j < k -> \
				assert(j >= commit || committed[j] == entry[me * LEN + j]); \
				if :: j >= commit -> committed[j] = entry[me * LEN + j]; committedIn[j] = term[me] :: else fi; \
				j++ \
			:: else -> break \
			od; \
			known[me] = k; \
			if :: commit < k -> commit = k :: else fi \
		:: else \
		fi; \
		j = 0; match = 0; last = 0; count = 0; size = 0; members = 0 }

/* A leader changes the voters when its last change is committed ... */
#ifdef MUTATE_CHANGE_TWICE
#define SETTLED true
#else
#define SETTLED (MASK_OF(entry[me * LEN + (known[me] > 0 -> known[me] - 1 : 0)]) == MASK_OF(entry[me * LEN + length[me] - 1]))
#endif
/* ... and so is an entry of its own term. */
#ifdef MUTATE_CHANGE_EARLY
#define RULING true
#else
#define RULING (known[me] > 0)
#endif

#ifdef MUTATE_SWAP
#define STEP(n) (BIT(SUCCESSOR) | BIT(LEAVER))
#else
#define STEP(n) BIT(n)
#endif
#ifdef HANDOVER
#define SUCCESSOR 3
#define LEAVER    0
#define PLANNED(n) (n == SUCCESSOR || n == LEAVER) && \
	((MASK_OF(entry[me * LEN + length[me] - 1]) & BIT(SUCCESSOR)) -> n == LEAVER : n == SUCCESSOR)
#else
#define PLANNED(n) true
#endif

/* A voter that leaves gives up its vote once its removal is committed. */
#ifdef MUTATE_RETIRE_EARLY
#define HANDED_OVER (MASK_OF(committed[commit - 1]) & BIT(SUCCESSOR))
#else
#define HANDED_OVER (!(MASK_OF(committed[commit - 1]) & BIT(LEAVER)))
#endif

/* recoverable checks that the voters in force can still elect a leader and commit. */
inline recoverable() {
	members = MASK_OF(committed[commit - 1]);
	majority(members & ~retired);
	assert(count >= size);
	count = 0; size = 0; members = 0
}

/* A leader adds or removes one voter. */
#define CHANGE(n) \
	:: d_step { n < NODES && role[me] == LEADER && length[me] > 0 && PLANNED(n) && length[me] < LEN && changes < CHANGES && SETTLED && RULING && \
	   !((BIT(n) & retired) && !(MASK_OF(entry[me * LEN + length[me] - 1]) & BIT(n))) && \
	   MASK_OF(entry[me * LEN + length[me] - 1]) != BIT(n) -> \
		lastOf(me); \
		append(me, ENTRY(term[me], MASK_OF(last) ^ STEP(n))); \
		changes++; \
		last = 0 }

/* With SINGLE no term has two candidates, which leaves room for a further term. */
#ifdef SINGLE
#define UNCONTESTED(t) (asked[BOX(t, 0)] == 0 && asked[BOX(t, 1)] == 0 && asked[BOX(t, 2)] == 0 && asked[BOX(t, NODES - 1)] == 0)
#else
#define UNCONTESTED(t) true
#endif

proctype node(byte me) {
end:
	do
	/* A voter whose timer ran out asks for votes. Its own vote is synced first. */
	:: d_step { !(retired & BIT(me)) && role[me] != LEADER && term[me] < TERMS && length[me] > 0 && UNCONTESTED(term[me] + 1) &&
	   (MASK_OF(entry[me * LEN + length[me] - 1]) & BIT(me)) ->
		granted[BOX(term[me], me)] = 0;
		term[me]++;
		vote[me] = me + 1;
		role[me] = CANDIDATE;
		lastOf(me);
		asked[BOX(term[me], me)] = length[me] + 1;
		askedTerm[BOX(term[me], me)] = TERM_OF(last);
		granted[BOX(term[me], me)] = BIT(me);
		last = 0 }

	GRANT(2, 0) GRANT(2, 1) GRANT(2, 2) GRANT(2, 3)
	GRANT(3, 0) GRANT(3, 1) GRANT(3, 2) GRANT(3, 3)
#if TERMS > 3
	GRANT(4, 0) GRANT(4, 1) GRANT(4, 2) GRANT(4, 3)
#endif

	/* A candidate with a quorum of its own voters leads. */
	:: d_step { role[me] == CANDIDATE && !(retired & BIT(me)) ->
		lastOf(me);
		members = MASK_OF(last);
		majority(granted[BOX(term[me], me)]);
		if
		:: count >= size ->
			assert(leader[term[me]] == 0);
			leader[term[me]] = me + 1;
			role[me] = LEADER;
			granted[BOX(term[me], me)] = 0;
			j = 0;
			do
			:: j < commit ->
				assert(committedIn[j] > term[me] || (length[me] > j && entry[me * LEN + j] == committed[j]));
				j++
			:: else -> break
			od;
			j = 0;
			do
			:: j < length[me] -> sent[AT(term[me], j)] = entry[me * LEN + j]; j++
			:: else -> break
			od;
			sentLength[term[me]] = length[me]
		:: else
		fi;
		j = 0; last = 0; count = 0; size = 0; members = 0 }

	/* A leader appends an entry of its own term. */
	:: d_step { role[me] == LEADER && length[me] < LEN ->
		lastOf(me);
		append(me, ENTRY(term[me], MASK_OF(last)));
		last = 0 }

	ACCEPT(1, 2) ACCEPT(1, 3)
	ACCEPT(2, 1) ACCEPT(2, 2) ACCEPT(2, 3)
	ACCEPT(3, 1) ACCEPT(3, 2) ACCEPT(3, 3)
#if TERMS > 3
	ACCEPT(4, 1) ACCEPT(4, 2) ACCEPT(4, 3)
#endif

	COMMIT(2) COMMIT(3)
	CHANGE(0) CHANGE(1) CHANGE(2) CHANGE(3)

	/* A crash, a lost quorum: the node keeps only what was synced. */
	:: d_step { role[me] != FOLLOWER ->
		resign(me)
#ifdef MUTATE_VOTE_UNSYNCED
		; vote[me] = 0
#endif
		}

	/* The disk is lost. The identity goes with it, and with it the vote. */
	:: d_step { wipes < WIPES && !(retired & BIT(me)) && length[me] > 0 ->
		wipes++;
		resign(me);
		j = 0;
		do
		:: j < LEN -> entry[me * LEN + j] = 0; j++
		:: else -> break
		od;
		length[me] = 0;
#ifndef MUTATE_WIPED_KEEPS_VOTE
		retired = retired | BIT(me);
#endif
		term[me] = 0;
		vote[me] = 0;
#ifdef HANDOVER
		recoverable();
#endif
		j = 0 }

#ifdef HANDOVER
	:: d_step { me == LEAVER && !(retired & BIT(me)) && HANDED_OVER ->
		resign(me);
		retired = retired | BIT(me);
		recoverable() }
#endif
	od
}

/* Node 0 leads term 1, and its first entry is committed everywhere but on learners. */
init {
	byte i = 0;
	atomic {
		do
		:: i < NODES ->
			if
			:: VOTERS & BIT(i) ->
				term[i] = 1;
				vote[i] = 1;
				entry[i * LEN] = ENTRY(1, VOTERS);
				length[i] = 1
			:: else
			fi;
			i++
		:: else -> break
		od;
		leader[1] = 1;
		role[0] = LEADER;
		sent[AT(1, 0)] = ENTRY(1, VOTERS);
		sentLength[1] = 1;
		committed[0] = ENTRY(1, VOTERS);
		committedIn[0] = 1;
		commit = 1;
		known[0] = 1;
		i = 0;
		do
		:: i < NODES -> run node(i); i++
		:: else -> break
		od;
		i = 0
	}
}
