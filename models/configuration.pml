/*
 * Model of the fold of the configuration stream at two hosts. Each change is
 * based on a version, snapshots repeat the state, and retention drops old
 * records. A host that is behind adopts the state of a host that is ahead, from
 * messages that may be delayed. A host may restart with no state.
 *
 * Checked properties: a host never goes back to an earlier state while it runs,
 * and two hosts that have read up to the same offset have the same
 * configuration (both have the result of the ideal fold).
 *
 * Each MUTANT_... macro removes one safeguard and must yield a counterexample.
 */
#define HOSTS 2
#define LOG_LENGTH 3
#ifndef CHANGES
#define CHANGES 2
#endif
#ifndef SNAPSHOTS
#define SNAPSHOTS 2
#endif

/* Records: each is a change (based_on) or a snapshot (up_to, value). */
bit is_snapshot[LOG_LENGTH];
byte based_on[LOG_LENGTH];
byte up_to[LOG_LENGTH];
byte value[LOG_LENGTH];
byte tail = 0;
byte earliest = 0;

/* Temporary variable of atomic steps; not part of the state. */
hidden byte position;

/* How often each event may still occur. */
byte changes_left = CHANGES;
byte snapshots_left = SNAPSHOTS;
byte answers_left = 1;
byte restarts_left = 1;

/*
 * Result of the ideal fold of the first `n` records: offset + 1 of the last
 * accepted change.
 */
byte ideal[LOG_LENGTH + 1];

/* Number of records that each host has read, and its configuration. */
byte read_to[HOSTS];
byte current[HOSTS];

/* Answers between hosts: number of records read, and the configuration. */
chan answers = [1] of { byte, byte };

inline adopt(host, new_read_to, new_value) {
  atomic {
#ifndef MUTANT_ADOPT_ANYTHING
    if
    :: new_read_to > read_to[host] ->
#endif
       assert(new_read_to >= read_to[host]);
       /* The arguments may contain `read_to`, so it is assigned last. */
       current[host] = new_value;
       read_to[host] = new_read_to;
       assert(current[host] == ideal[read_to[host]])
#ifndef MUTANT_ADOPT_ANYTHING
    :: else -> skip
    fi
#endif
  }
}

/* Operators: each bases its change on the configuration of some host. */
proctype Operators() {
  byte seen;
end:
  do
  :: changes_left > 0 && tail < LOG_LENGTH ->
     changes_left--;
     if
     :: seen = current[0]
     :: seen = current[1]
     fi;
     /* Another record may be appended here. */
     atomic {
       if
       :: tail < LOG_LENGTH ->
          is_snapshot[tail] = 0;
          based_on[tail] = seen;
          if
          :: seen == ideal[tail] -> ideal[tail + 1] = tail + 1
          :: else -> ideal[tail + 1] = ideal[tail]
          fi;
          tail++
       :: else -> skip
       fi;
       seen = 0
     }
  od
}

/* The first host takes a snapshot and appends it later. */
proctype Snapshots() {
  byte taken_read_to, taken_value;
end:
  do
  :: snapshots_left > 0 && tail < LOG_LENGTH ->
     atomic {
       snapshots_left--;
       taken_read_to = read_to[0];
       taken_value = current[0]
     };
     atomic {
       if
       :: tail < LOG_LENGTH ->
          is_snapshot[tail] = 1;
          up_to[tail] = taken_read_to;
          value[tail] = taken_value;
          ideal[tail + 1] = ideal[tail];
          tail++
       :: else -> skip
       fi;
       taken_read_to = 0;
       taken_value = 0
     }
  od
}

inline read_next(host) {
  atomic {
    if
    :: read_to[host] < tail && read_to[host] >= earliest ->
       if
       :: !is_snapshot[read_to[host]] &&
          based_on[read_to[host]] == current[host] ->
          adopt(host, read_to[host] + 1, read_to[host] + 1)
       :: else -> adopt(host, read_to[host] + 1, current[host])
       fi
    :: read_to[host] < earliest ->
       /* Records were dropped: continue from a snapshot that covers them. */
#ifdef MUTANT_FOLD_OVER_LOSS
       adopt(host, earliest, current[host]);
#else
       position = earliest;
       do
       :: position < tail ->
          if
#ifdef MUTANT_ANY_SNAPSHOT
          :: is_snapshot[position] ->
             adopt(host, position + 1, value[position]);
             break
#else
          :: is_snapshot[position] && up_to[position] >= earliest ->
             adopt(host, up_to[position], value[position]);
             break
#endif
          :: else -> position++
          fi
       :: else -> break
       od
#endif
    :: else -> skip
    fi
  }
}

proctype Host(byte host) {
  byte heard_read_to, heard_value;
end:
  do
  :: read_to[host] < tail -> read_next(host)
  :: answers_left > 0 && nfull(answers) ->
     atomic {
       answers_left--;
       answers ! read_to[host], current[host]
     }
  :: atomic {
       nempty(answers) -> answers ? heard_read_to, heard_value;
       adopt(host, heard_read_to, heard_value);
       heard_read_to = 0;
       heard_value = 0
     }
  :: restarts_left > 0 && host == 1 ->
     /* A restart loses all state. */
     atomic { restarts_left--; read_to[host] = 0; current[host] = 0 }
  od
}

/* Retention drops the oldest record if a later snapshot covers it. */
proctype Retention() {
end:
  do
  :: atomic {
       earliest < tail ->
       position = earliest + 1;
       do
       :: position < tail ->
          if
          :: is_snapshot[position] && up_to[position] >= earliest + 1 ->
             earliest++;
             break
          :: else -> position++
          fi
       :: else -> break
       od
     }
  od
}

init {
  atomic {
    run Operators();
    run Snapshots();
    run Host(0);
    run Host(1);
    run Retention()
  }
}
