/*
 * Model of the duty record in a store that can come back from an older copy.
 * Hosts read the newest record, append the next one on the condition that the
 * log has not moved, and report the windows whose counts it fixes. An append
 * may be executed late, even in a later era, and its answer may be lost. A host
 * may lose its lease at any time and may restart with no state.
 *
 * The lease is abstract: a host takes over without waiting only if the newest
 * record is its own, and otherwise only after all other leases have ended.
 *
 * Checked properties: a window is never reported with different counts, two
 * hosts never hold a valid lease at once, and no two hosts act with the same
 * fencing number.
 *
 * Each MUTANT_... macro removes one safeguard and must yield a counterexample.
 */
#define HOSTS 2
#define WINDOWS 2
#define ERAS 2
#define MAXIMUM_OFFSET 5
#ifndef APPENDS
#define APPENDS 4
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

/* A record; `fixed` holds the count of each window, 0 if it is not fixed. */
typedef Record {
  byte writer;
  byte era;
  byte fixed[WINDOWS];
  byte closed_to;
}

/* The store: newest record, end of the log, and an older copy of both. */
Record newest;
byte end = 0;
byte store_era = 0;
Record copied;
byte copied_end = 0;

/* Number of windows that have ended; only those can be fixed. */
byte ended = 0;

byte appends_left = APPENDS;
byte restarts_left = RESTARTS;

/* An append that has not been executed yet: its writer, condition, content. */
bit is_pending = 0;
byte pending_end;
Record pending;

/* State of each host. */
bit is_holder[HOSTS];
bit has_lease[HOSTS];
bit has_view[HOSTS];
byte view_era[HOSTS];
byte view_end[HOSTS];
Record view[HOSTS];
Record own[HOSTS];
byte fence_era[HOSTS];
byte fence_offset[HOSTS];
/* Counts that the host has read, by window. */
Record known[HOSTS];

/* What the platform accepted: counts by window, and the user of each fence. */
byte reported[WINDOWS];
byte fence_user[ERAS * MAXIMUM_OFFSET];

#define OTHER(host) (1 - host)
/* Writer 0 is nobody; host h writes as h + 1. */
#define NAME(host) (host + 1)

inline copy_record(from, to) {
  to.writer = from.writer;
  to.era = from.era;
  to.fixed[0] = from.fixed[0];
  to.fixed[1] = from.fixed[1];
  to.closed_to = from.closed_to
}

inline clear_record(record) {
  record.writer = 0;
  record.era = 0;
  record.fixed[0] = 0;
  record.fixed[1] = 0;
  record.closed_to = 0
}

inline lose(host) {
  is_holder[host] = 0;
  has_lease[host] = 0;
  has_view[host] = 0
}

inline remember(host, record) {
  if
  :: record.fixed[0] != 0 -> known[host].fixed[0] = record.fixed[0]
  :: else -> skip
  fi;
  if
  :: record.fixed[1] != 0 -> known[host].fixed[1] = record.fixed[1]
  :: else -> skip
  fi
}

/* Fixes the windows of `pending` that have ended and are not closed. */
inline fix_windows(host) {
  if
  :: ended >= 1 && pending.closed_to < 1 && pending.fixed[0] == 0 &&
     pending.fixed[1] == 0 ->
     pending.fixed[0] = NAME(host)
  :: else -> skip
  fi;
  if
  :: ended >= 2 && pending.closed_to < 2 && pending.fixed[1] == 0 ->
     pending.fixed[1] = NAME(host)
  :: else -> skip
  fi
}

/* Bases the next record on the one that the host has read. */
inline reconcile(host) {
  if
#ifndef MUTANT_TRUST_COPY
  :: view[host].writer != 0 && view[host].era == view_era[host] ->
#else
  :: view[host].writer != 0 ->
#endif
     copy_record(view[host], pending)
  :: else ->
     copy_record(known[host], pending);
     pending.closed_to = view[host].closed_to;
#ifndef MUTANT_CLOSE_NOTHING
     if
     :: pending.closed_to < ended -> pending.closed_to = ended
     :: else -> skip
     fi
#endif
  fi
}

/* Temporary variable of atomic steps; not part of the state. */
hidden byte position;

inline use_fence(host) {
#ifndef MUTANT_FENCE_WITHOUT_ERA
  position = fence_era[host] * MAXIMUM_OFFSET + fence_offset[host];
#else
  position = fence_offset[host];
#endif
  assert(fence_user[position] == 0 || fence_user[position] == NAME(host));
  fence_user[position] = NAME(host)
}

proctype Host(byte host) {
end_host:
  do
  /* Reads the newest record. */
  :: atomic {
       !has_view[host] ->
       copy_record(newest, view[host]);
       view_era[host] = store_era;
       view_end[host] = end;
       has_view[host] = 1;
       if
#ifndef MUTANT_REMEMBER_ANY_ERA
       :: newest.writer != 0 && newest.era == store_era ->
#else
       :: newest.writer != 0 ->
#endif
          remember(host, newest)
       :: else -> skip
       fi;
       /* A holder checks whether it may keep the duties. */
       if
       :: is_holder[host] ->
          if
          :: newest.writer == NAME(host) && newest.era == store_era -> skip
#ifndef MUTANT_KEEP_AFTER_LEASE
          :: newest.era != store_era && has_lease[host] -> skip
          :: newest.writer == 0 && has_lease[host] -> skip
#else
          :: newest.era != store_era || newest.writer == 0 -> skip
#endif
          :: else -> lose(host)
          fi
       :: else -> skip
       fi
     }
  /* Forgets a view that may be outdated. */
  :: atomic { has_view[host] && !is_holder[host] -> has_view[host] = 0 }
  /* Sends the next record. */
  :: atomic {
       has_view[host] && appends_left > 0 && !is_pending &&
       end < MAXIMUM_OFFSET - 1 &&
       (is_holder[host] ||
#ifndef MUTANT_OWN_RECORD_OF_ANY_ERA
        (view[host].writer == NAME(host) &&
         view[host].era == view_era[host]) ||
#else
        view[host].writer == NAME(host) ||
#endif
        !has_lease[OTHER(host)]) ->
       appends_left--;
       if
       :: is_holder[host] && has_lease[host] -> copy_record(own[host], pending)
       :: else -> reconcile(host)
       fi;
       pending.writer = NAME(host);
       pending.era = view_era[host];
       fix_windows(host);
       pending_end = view_end[host];
       is_pending = 1
     };
     /* The store executes it now, later, or never. */
     if
     :: atomic {
          if
          :: is_pending && pending.writer == NAME(host) &&
             pending_end == end ->
             copy_record(pending, newest);
             end++;
             is_pending = 0;
             if
             :: store_era == view_era[host] ->
                /* The answer arrives. */
                copy_record(newest, own[host]);
                copy_record(newest, view[host]);
                remember(host, newest);
                view_end[host] = end;
                fence_era[host] = store_era;
                fence_offset[host] = end - 1;
                is_holder[host] = 1;
                has_lease[host] = 1;
                assert(!has_lease[OTHER(host)])
             :: store_era != view_era[host] -> has_view[host] = 0
             fi
          :: is_pending && pending.writer == NAME(host) &&
             pending_end != end ->
             is_pending = 0;
             if
             :: store_era == view_era[host] -> lose(host)
             :: else -> has_view[host] = 0
             fi
          :: else -> lose(host)
          fi
        }
     :: atomic { lose(host) }
     fi
  /* Reports a window. */
  :: atomic {
       is_holder[host] && has_lease[host] && own[host].fixed[0] != 0 ->
       assert(reported[0] == 0 || reported[0] == own[host].fixed[0]);
       reported[0] = own[host].fixed[0];
       use_fence(host)
     }
  :: atomic {
       is_holder[host] && has_lease[host] && own[host].fixed[1] != 0 ->
       assert(reported[1] == 0 || reported[1] == own[host].fixed[1]);
       reported[1] = own[host].fixed[1];
       use_fence(host)
     }
  /* The lease ends. */
  :: atomic { has_lease[host] -> has_lease[host] = 0 }
  /* The process restarts. */
  :: atomic {
       restarts_left > 0 ->
       restarts_left--;
       lose(host);
       clear_record(known[host]);
       clear_record(own[host]);
       clear_record(view[host])
     }
  od
}

/* Time, the store, and writes that are executed late. */
proctype World() {
end_world:
  do
  :: atomic { ended < WINDOWS -> ended++ }
  :: atomic {
       store_era == 0 && copied_end == 0 && end > 0 ->
       copy_record(newest, copied);
       copied_end = end
     }
  :: atomic {
       store_era < ERAS - 1 ->
       store_era++;
       copy_record(copied, newest);
       end = copied_end
     }
  :: atomic {
       is_pending ->
       is_pending = 0;
       if
       :: pending_end == end && end < MAXIMUM_OFFSET - 1 ->
          copy_record(pending, newest);
          end++
       :: else -> skip
       fi
     }
  od
}

init {
  atomic {
    run Host(0);
    run Host(1);
    run World()
  }
}
