/*
 * Model of the execution right for one request with an idempotency key: claim,
 * read-back, send, handover and release. Three submissions with the same key
 * reach three entry hosts, and each has an execution right of its own. Records
 * may be lost, delayed or duplicated. Hosts may pause at any point (any
 * interleaving) and crash at any point.
 *
 * Checked properties: the request is executed at most once, and a submission
 * that was answered with `ran: "no"` is never executed.
 *
 * Each MUTANT_... macro removes one safeguard and must yield a counterexample.
 */
#define RIGHTS 3
#define NONE 3
#define LOG_LENGTH 8

byte log_right[LOG_LENGTH];
bit log_is_release[LOG_LENGTH];
byte tail = 0;

byte executions = 0;
bit executed[RIGHTS];
bit answered_no[RIGHTS];

/* Execution rights in handover; each message is delivered at most once. */
chan handover = [RIGHTS] of { byte };

inline append(right, is_release) {
  atomic {
    if
    :: tail < LOG_LENGTH ->
       log_right[tail] = right;
       log_is_release[tail] = is_release;
       tail++
    :: else -> skip
    fi
  }
}

/* Folds the claim stream from offset `from` and sets `winner`. */
inline fold(from) {
  d_step {
    winner = NONE;
    dead = 0;
    position = from;
    do
    :: position < tail ->
       if
       :: log_is_release[position] ->
          dead = dead | (1 << log_right[position]);
          if
          :: winner == log_right[position] -> winner = NONE
          :: else -> skip
          fi
       :: else ->
#ifdef MUTANT_LAST_CLAIM_WINS
          winner = log_right[position]
#else
          if
          :: winner == NONE && !(dead & (1 << log_right[position])) ->
             winner = log_right[position]
          :: else -> skip
          fi
#endif
       fi;
       position++
    :: else -> break
    od
  }
}

/* Sends the first byte to an upstream, which executes the request. */
inline send(right) {
  atomic {
    executions++;
    executed[right] = 1;
    assert(executions <= 1);
    assert(!answered_no[right])
  }
}

inline answer_no(right) {
  atomic {
    answered_no[right] = 1;
    assert(!executed[right])
  }
}

/* An append that reaches the log with a delay. */
proctype LateAppend(byte right) {
  append(right, 0)
}

/* The front: an entry host that accepted one submission. */
proctype Front(byte right) {
  byte winner, dead, position, start = 0;
  bit is_held = 0;
#ifdef MUTANT_NO_CATCH_UP
  start = tail;
#endif
  /* The claim is appended once, twice, with a delay, or not at all. */
  if
  :: true -> append(right, 0)
  :: true -> append(right, 0); append(right, 0)
  :: run LateAppend(right)
  :: skip
  fi;
#ifdef MUTANT_NO_READ_BACK
  goto won;
#endif
  do
  :: fold(start);
     if
     :: winner == right -> goto won
     :: winner != right && winner != NONE -> goto done
     :: winner == NONE -> skip
     fi
  :: /* The claim does not appear in the log in time. */
     goto give_up
  od;
won:
  is_held = 1;
  if
  :: /* The host may pause here: it reads nothing again before it sends. */
     atomic { is_held = 0; send(right) };
#ifdef MUTANT_SEND_AGAIN
     if
     :: true -> send(right)
     :: skip
     fi;
#endif
     goto done
  :: /* Nothing could be written to the upstream. */
     goto give_up
  :: /* This host leaves: it destroys its right before the handover. */
#ifndef MUTANT_KEEP_RIGHT_ON_HANDOVER
     is_held = 0;
#endif
     if
     :: handover ! right
     :: skip /* message lost */
     fi;
#ifdef MUTANT_KEEP_RIGHT_ON_HANDOVER
     if
     :: is_held -> send(right)
     :: skip
     fi;
#endif
#ifdef MUTANT_SAY_NO_AFTER_HANDOVER
     answer_no(right);
#endif
     goto done
  :: goto done /* crash */
  fi;
give_up:
#ifndef MUTANT_KEEP_RIGHT_ON_GIVING_UP
  is_held = 0;
#endif
  answer_no(right);
  /* The release is written after the right is destroyed; it may be lost. */
  if
  :: true -> append(right, 1)
  :: skip
  fi;
#ifdef MUTANT_KEEP_RIGHT_ON_GIVING_UP
  fold(start);
  if
  :: winner == right -> send(right)
  :: else -> skip
  fi;
#endif
#ifdef MUTANT_RELEASE_BEFORE_DESTROYING
  if
  :: true -> send(right)
  :: skip
  fi;
#endif
done:
  skip
}

/* The entry host that takes over execution rights. */
proctype Backup() {
  byte right;
  do
  :: handover ? right ->
     if
     :: true -> send(right)
     :: true -> answer_no(right); append(right, 1)
     :: skip /* crash */
     fi
  :: break
  od
}

init {
  atomic {
    run Front(0);
    run Front(1);
    run Front(2);
    run Backup()
  }
}
