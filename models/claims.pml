/*
 * Claim, read-back, send, handover and release of the right to execute one
 * keyed request. Three submissions of the same key reach three entry hosts;
 * each has a right of its own. Records may be lost, late or doubled; hosts may
 * pause anywhere (any interleaving) and crash anywhere.
 *
 * Checked: the request executes at most once, and a submission that was
 * answered `ran: "no"` never executes.
 *
 * Each MUTANT_... macro takes one guard out and must yield a counterexample.
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

/* Rights that are handed over; a message is delivered at most once. */
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

/* The fold of the claim stream: sets `winner`. */
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

/* The first byte reaches an upstream, which executes the request. */
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

/* An append that reaches the log late. */
proctype LateAppend(byte right) {
  append(right, 0)
}

/* An entry host with one submission. */
proctype Front(byte right) {
  byte winner, dead, position, start = 0;
  bit is_held = 0;
#ifdef MUTANT_NO_CATCH_UP
  start = tail;
#endif
  /* The claim is appended once, twice, late, or not at all. */
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
  :: /* The log does not show the claim in time. */
     goto give_up
  od;
won:
  is_held = 1;
  if
  :: /* A pause may come here: nothing is read again before the send. */
     atomic { is_held = 0; send(right) };
#ifdef MUTANT_SEND_AGAIN
     if
     :: true -> send(right)
     :: skip
     fi;
#endif
     goto done
  :: /* Nothing could be written. */
     goto give_up
  :: /* This host leaves: its right is destroyed before it is sent. */
#ifndef MUTANT_KEEP_RIGHT_ON_HANDOVER
     is_held = 0;
#endif
     if
     :: handover ! right
     :: skip /* lost on the way */
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
  /* The release may be lost; it is written after the right is destroyed. */
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

/* The entry host that takes rights over. */
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
