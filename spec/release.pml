/* Release verdicts (src/release.cpp).
 *
 * The model has three processes and one rollout of a new version. The lease
 * holder raises the share by log records. Any process may find the version bad
 * by its own evidence at any time. Verdicts spread by gossip, whose messages
 * may be lost and are repeated. Control states are adopted from peers that may
 * not have the verdict yet. Processes restart and read the log again.
 *
 * Invariants: a process that has the verdict sends no request to the new
 * version, neither in the same incarnation nor, once the verdict is in the log,
 * in a later one. No request is sent to it before the first share record.
 * Mutations that must be detected: SHARE_CLEARS, ADOPT_CLEARS, NO_APPEND.
 */
#define N 3
#define LOG 3

mtype = { share, verdict };
mtype kind[LOG];
byte tail = 0;
bool bad[N];
bool everBad[N];   /* the process has had the verdict in this incarnation */
bool logged = false;
byte raised[N];
bool serving[N];   /* the process has read the log to its end since its start */

proctype Process(byte id) {
  byte next = 0;
  byte peer;
  byte lives = 2;

  do
  :: atomic { next < tail ->
       if
       :: kind[next] == share ->
          raised[id] = 1;
#ifdef SHARE_CLEARS
          bad[id] = false
#else
          skip
#endif
       :: kind[next] == verdict -> bad[id] = true; everBad[id] = true
       fi;
       next++
     }
  :: atomic { next == tail -> serving[id] = true }
     /* the lease holder raises the share while it has no verdict */
  :: atomic { id == 0 && serving[id] && !bad[id] && tail < LOG - 1 -> kind[tail] = share; tail++ }
     /* reaches a verdict by its own evidence */
  :: atomic { serving[id] && raised[id] > 0 && !bad[id] ->
       bad[id] = true; everBad[id] = true;
#ifndef NO_APPEND
       if
       :: tail < LOG -> kind[tail] = verdict; tail++; logged = true
       :: else -> skip
       fi
#else
       logged = true
#endif
     }
     /* merges the facts of a peer */
  :: atomic { peer = (id + 1) % N; bad[peer] -> bad[id] = true; everBad[id] = true }
     /* adopts a peer's control state with its share; a peer without the
        verdict does not clear the own one */
  :: atomic { peer = (id + 2) % N; raised[peer] > 0 ->
       raised[id] = 1;
#ifdef ADOPT_CLEARS
       bad[id] = bad[peer]
#else
       bad[id] = bad[id] || bad[peer]; everBad[id] = everBad[id] || bad[peer]
#endif
     }
     /* a request for the new version */
  :: atomic { serving[id] && raised[id] > 0 && !bad[id] ->
       assert(!everBad[id]);
       assert(!(logged && lives == 1 && next == tail))
     }
  :: atomic { lives > 1 ->
       lives--; next = 0; bad[id] = false; everBad[id] = false;
       raised[id] = 0; serving[id] = false
     }
  :: next == tail && lives == 1 -> break
  od
}

init { atomic { run Process(0); run Process(1); run Process(2) } }
