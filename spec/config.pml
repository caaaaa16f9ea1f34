/* The order of configurations (src/controllog.cpp).
 *
 * Two operators publish records that name the version they are based on. Two
 * readers read the control log, adopt newer versions from each other and
 * restart. A reader may start after the first records of the log have expired;
 * it then starts from a snapshot. By definition, `truth[i]` is the version in
 * force after record i.
 *
 * Invariants: a reader that has read up to record i has version truth[i] or a
 * newer accepted version, which it got from its peer. The version of one
 * incarnation never decreases.
 * Mutations that must be detected: NO_BASE, PEER_OLDER, SNAPSHOT_WINS,
 * FORGET_UNJUDGED (drops the deferred records), ANY_SNAPSHOT (accepts a
 * snapshot that was written before the missed records were read), GAP_IGNORED
 * (accepts a version from a peer as the base after missed records).
 */
#define LOG 5

mtype = { config, snapshot };
mtype kind[LOG];
byte base[LOG];     /* config: version it is based on; snapshot: version it contains */
byte through[LOG];  /* snapshot: number of records that its writer had read */
byte truth[LOG];    /* version in force after the record; record i publishes version i + 1 */
byte tail = 0;
byte current = 0;   /* version in force after the last record */
byte earliest = 0;  /* offset of the first retained record */
byte version[2];    /* version of each reader */

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

/* evaluates the deferred records from offset `first` on */
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
  seen = current;   /* other steps may come between reading the version and publishing */
  atomic { publish(seen) };
  seen = current;
  atomic { publish(seen) }
}

proctype Reader(byte id) {
  byte next = 0;
  byte held = 0;        /* version adopted from a peer or from the log */
  bool baseless = false; /* records were missed: configurations are deferred until a snapshot is read */
  byte from = 0;        /* first record that could be read after the missed ones */
  byte lives = 1 + id; /* the second reader restarts once */
  byte i;

  do
     /* the next records have expired */
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
       :: else -> skip  /* deferred, or already adopted from a peer */
       fi;
       if
       :: !baseless -> assert(held == truth[next] || held > next + 1)
       :: else -> skip
       fi;
       assert(held >= version[id]);
       version[id] = held;
       next++
     }
     /* adopts the version of the peer */
#ifdef PEER_OLDER
  :: atomic { version[1 - id] != held && version[1 - id] > 0 -> held = version[1 - id]; assert(held >= version[id]); version[id] = held }
#else
  :: atomic { version[1 - id] > held -> held = version[1 - id]; version[id] = held }
#endif
     /* the lease holder writes a snapshot */
  :: atomic { id == 0 && !baseless && held > 0 && tail < LOG && next >= earliest ->
       kind[tail] = snapshot; base[tail] = held; through[tail] = next; truth[tail] = current; tail++
     }
  :: atomic { lives > 1 -> lives--; next = 0; held = 0; baseless = false; version[id] = 0 }
  :: next == tail -> break
  od
}

/* Retention: records expire once a snapshot has been written after them. */
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
