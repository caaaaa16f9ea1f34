/* The order of configurations (src/controllog.cpp).
 *
 * Two operators publish records that name the version they changed; two
 * readers follow the log, learn from each other, restart, and may start after
 * the log's first records have expired, from a snapshot. `truth[i]` is the
 * version in force after record i by definition.
 *
 * Invariants: a reader that has read through i has truth[i] or, from its peer,
 * a newer accepted version; a life's version never goes down.
 * Mutations that have to be caught: NO_BASE, PEER_OLDER, SNAPSHOT_WINS,
 * FORGET_UNJUDGED, ANY_SNAPSHOT (takes one that was written before the missed
 * records were read), GAP_IGNORED (a version from a peer counts as a base).
 */
#define LOG 5

mtype = { config, snapshot };
mtype kind[LOG];
byte base[LOG];     /* config: version changed; snapshot: version carried */
byte through[LOG];  /* snapshot: records its writer had read */
byte truth[LOG];    /* version in force after the record; versions are i + 1 */
byte tail = 0;
byte current = 0;   /* truth after the last record */
byte earliest = 0;
byte version[2];

inline publish(b) {
  if
  :: tail < LOG ->
     kind[tail] = config; base[tail] = b;
     if
     :: b == current -> current = tail + 1
     :: else -> skip
     fi;
     truth[tail] = current; tail++
  :: else -> skip
  fi
}

/* judges the records put aside, from one on */
inline judgeUnjudged(first) {
  i = from;
  do
  :: i < next ->
     if
     :: kind[i] == config && i >= first && i + 1 > held && base[i] == held -> held = i + 1
     :: else -> skip
     fi;
     i++
  :: else -> break
  od
}

proctype Operator() {
  byte seen;
  seen = current;   /* looks, thinks, publishes */
  atomic { publish(seen) };
  seen = current;
  atomic { publish(seen) }
}

proctype Reader(byte id) {
  byte next = 0;
  byte held = 0;        /* version adopted from a peer or read */
  bool baseless = false; /* records were missed: wait for a snapshot */
  byte from = 0;        /* first record that could be read after that */
  byte lives = 1 + id; /* the second reader restarts once */
  byte i;

  do
     /* retention has overtaken us */
  :: atomic { next < earliest ->
       next = earliest; from = earliest;
#ifdef GAP_IGNORED
       baseless = (held == 0)
#else
       baseless = true
#endif
     }
  :: atomic { next < tail && next >= earliest ->
       if
       :: kind[next] == config && !baseless && next + 1 > held ->
#ifdef NO_BASE
          held = next + 1
#else
          if
          :: base[next] == held -> held = next + 1
          :: else -> skip
          fi
#endif
       :: kind[next] == snapshot ->
#ifdef SNAPSHOT_WINS
          held = base[next];
#endif
          if
#ifdef ANY_SNAPSHOT
          :: baseless ->
#else
          :: baseless && through[next] >= from ->
#endif
             baseless = false;
             if
             :: base[next] > held -> held = base[next]
             :: else -> skip
             fi;
#ifndef FORGET_UNJUDGED
             judgeUnjudged(through[next])
#endif
          :: else -> skip
          fi
       :: else -> skip  /* put aside, or known from a peer */
       fi;
       if
       :: !baseless -> assert(held == truth[next] || held > next + 1)
       :: else -> skip
       fi;
       assert(held >= version[id]);
       version[id] = held;
       next++
     }
     /* a peer's version */
#ifdef PEER_OLDER
  :: atomic { version[1 - id] != held && version[1 - id] > 0 -> held = version[1 - id]; assert(held >= version[id]); version[id] = held }
#else
  :: atomic { version[1 - id] > held -> held = version[1 - id]; version[id] = held }
#endif
     /* the holder writes a snapshot */
  :: atomic { id == 0 && !baseless && held > 0 && tail < LOG && next >= earliest ->
       kind[tail] = snapshot; base[tail] = held; through[tail] = next; truth[tail] = current; tail++
     }
  :: atomic { lives > 1 -> lives--; next = 0; held = 0; baseless = false; version[id] = 0 }
  :: next == tail -> break
  od
}

/* Retention: records go once a snapshot after them has been written. */
proctype Retention() {
  byte i = 0;
  atomic {
    do
    :: i < tail && kind[i] != snapshot -> i++
    :: else -> break
    od;
    if
    :: i < tail && i > 0 -> earliest = i
    :: else -> skip
    fi
  }
}

init {
  atomic {
    run Operator(); run Operator(); run Reader(0); run Reader(1); run Retention()
  }
}
