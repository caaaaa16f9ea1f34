/* The control lease with fencing tokens (src/lease.cpp).
 *
 * The model has two processes, an append-only log and time in ticks. A process
 * records the time, then appends, then reads. Any time may pass between these
 * steps, and the reply to the append is not used. The holder uses its lease for
 * HOLD ticks from the time recorded before its append. A challenger waits WAIT
 * ticks after it has read the last record. A load command is sent while the
 * lease is held and arrives at any later time; the upstream checks its epoch.
 *
 * Invariants: no two processes hold the lease at the same time. An upstream
 * that checks epochs never accepts a command of an older epoch after one of a
 * newer epoch.
 * Mutations that must be detected: NO_COMPARE, NO_WAIT, FROM_READ, NO_FENCE,
 * LATE_COMPARE (names the last record at the time of the append instead of at
 * the time of the request).
 */
#define TIME 6
#define HOLD 2
#define WAIT 3
#define LOG 4

byte now = 0;
byte tail = 0;
byte holder[LOG];   /* id of the process that appended the record, + 1 */
byte previous[LOG]; /* last valid record that its writer had read, + 1; 0: none */
byte sent[LOG];     /* time that the writer recorded before the append */
byte until[2];      /* end of the lease for each process; 0: it does not hold the lease */
byte taken = 0;     /* newest epoch that the upstream has accepted */
chan orders0 = [1] of { byte }; /* load commands in transit from process 0, at most one */
chan orders1 = [1] of { byte }; /* load commands in transit from process 1, at most one */

proctype Process(byte id) {
  byte next = 0;
  byte last = 0;      /* last valid record read, + 1; 0: none */
  byte epoch = 0;
  byte readAt = 0;
  byte asked = 0;     /* time recorded before the own append */
  byte seen = 0;      /* last valid record read at that time, + 1 */
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
     /* requests the lease once no record has been read for WAIT ticks */
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
