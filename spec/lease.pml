/* The control lease with fencing (src/lease.cpp).
 *
 * Two processes, an append-only log, time as ticks. A process notes the time,
 * then appends, then reads: any time may pass between these steps, and the
 * reply to the append plays no part. The holder uses its lease for HOLD ticks
 * from before it appended; a challenger waits WAIT ticks from when it read the
 * last record. An order leaves while the lease is held and arrives any time
 * later; the upstream checks the epoch.
 *
 * Invariants: no two holders at one time; an upstream that checks never takes
 * an order of an older epoch after one of a newer.
 * Mutations that have to be caught: NO_COMPARE, NO_WAIT, FROM_READ, NO_FENCE,
 * LATE_COMPARE (names the last record at the append, not when it asked).
 */
#define TIME 6
#define HOLD 2
#define WAIT 3
#define LOG 4

byte now = 0;
byte tail = 0;
byte holder[LOG];   /* process + 1 */
byte previous[LOG]; /* last record that the writer had read, + 1 */
byte sent[LOG];     /* time before the append */
byte until[2];      /* each process's own bound */
byte taken = 0;     /* newest epoch that the upstream took */
chan orders0 = [1] of { byte }; /* orders under way, one from each */
chan orders1 = [1] of { byte };

proctype Process(byte id) {
  byte next = 0;
  byte last = 0;      /* last valid record read, + 1 */
  byte epoch = 0;
  byte readAt = 0;
  byte asked = 0;     /* time before our append */
  byte seen = 0;      /* last record read by then */
  bool asking = false;
  bool pending = false;

  do
  :: atomic { next < tail ->
       if
#ifdef NO_COMPARE
       :: true ->
#else
       :: previous[next] == last ->
#endif
          last = next + 1; epoch = last; readAt = now;
          if
          :: holder[next] == id + 1 && sent[next] == asked ->
#ifdef FROM_READ
             until[id] = now + HOLD
#else
             until[id] = asked + HOLD
#endif
          :: else -> until[id] = 0
          fi
#ifndef NO_COMPARE
       :: else -> skip
#endif
       fi;
       if
       :: holder[next] == id + 1 -> asking = false
       :: else -> skip
       fi;
       next++;
       assert(!(now < until[0] && now < until[1]))
     }
     /* ask, if nothing was read for long enough */
#ifdef NO_WAIT
  :: atomic { !asking && !pending && next == tail && now < TIME -> asked = now; seen = last; pending = true }
#else
  :: atomic { !asking && !pending && next == tail && now < TIME && (last == 0 || now > readAt + WAIT) -> asked = now; seen = last; pending = true }
#endif
  :: atomic { pending && tail < LOG ->
#ifdef LATE_COMPARE
       seen = last;
#endif
       holder[tail] = id + 1; previous[tail] = seen; sent[tail] = asked; tail++;
       pending = false; asking = true
     }
  :: atomic { id == 0 && now < until[0] && nfull(orders0) -> orders0 ! epoch }
  :: atomic { id == 1 && now < until[1] && nfull(orders1) -> orders1 ! epoch }
  :: now == TIME -> break
  od
}

inline take() {
  if
#ifdef NO_FENCE
  :: true ->
#else
  :: epoch >= taken ->
#endif
     assert(epoch >= taken);
     taken = epoch
#ifndef NO_FENCE
  :: else -> skip
#endif
  fi
}

proctype Upstream() {
  byte epoch;
  do
  :: atomic { orders0 ? epoch -> take() }
  :: atomic { orders1 ? epoch -> take() }
  :: now == TIME && empty(orders0) && empty(orders1) -> break
  od
}

proctype Clock() {
  do
  :: atomic { now < TIME -> now++; assert(!(now < until[0] && now < until[1])) }
  :: now == TIME -> break
  od
}

init { atomic { run Process(0); run Process(1); run Upstream(); run Clock() } }
