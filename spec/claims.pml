/* At-most-once execution for one idempotency key (src/claims.cpp).
 *
 * The model has two entry processes with two incarnations each, one key and an
 * append-only log. An append may be carried out twice, because it is retried
 * after a lost reply. A process may pause between any two steps for any time,
 * and may crash.
 *
 * Invariants: the call is executed at most once. A call that is answered "not
 * run" is never executed, and no other call has executed the key before that
 * answer.
 * Mutations that must be detected: TAKEOVER, RETRY_LOST, RELEASE_SENT,
 * NO_READ, EARLY_NOT_RUN.
 */
#define ENTRIES 2
#define LOG 7
#define CLAIMS 4

mtype = { none, claim, release };
mtype kind[LOG];
byte who[LOG];
byte tail = 0;
byte nextClaim = 0;
byte executions = 0;
bool ran[CLAIMS + 1];
bool saidNotRun[CLAIMS + 1];

inline append(k, w) {
  if
  :: tail < LOG -> kind[tail] = k; who[tail] = w; tail++
  :: else -> skip
  fi
}

inline execute(id) {
  executions++;
  ran[id] = true;
  assert(executions <= 1);
  assert(!saidNotRun[id])
}

inline answerNotRun(id) {
  saidNotRun[id] = true;
  assert(!ran[id]);
  assert(executions == 0)
}

inline readOne() {
  if
  :: kind[next] == claim ->
     if
     :: owner == 0 ->
        owner = who[next];
        if
        :: who[next] == mine && waiting -> won = true; waiting = false
        /* a claim of this incarnation whose call no longer waits: release it */
        :: who[next] >= firstOfLife && who[next] <= lastOfLife && who[next] % ENTRIES == id && !(who[next] == mine && waiting) && !(sent && who[next] == mine) ->
           append(release, who[next])
        :: else -> skip
        fi
     :: owner != 0 && owner != who[next] && who[next] == mine -> waiting = false; mine = 0
     :: else -> skip
     fi
  :: kind[next] == release ->
     if
     :: owner == who[next] -> owner = 0
     :: else -> skip
     fi
  fi;
  next++
}

proctype Entry(byte id) {
  byte lives = 2;
  byte next = 0;          /* offset of the next record to read */
  byte owner = 0;         /* claim that holds the key after the records read so far; 0: none */
  byte mine = 0;          /* claim of the current call; 0: no call */
  bool waiting = false;   /* the claim of the current call has not been read back yet */
  bool won = false;
  bool sent = false;
  byte firstOfLife = 1;
  byte lastOfLife = 0;

  do
  :: atomic { next < tail -> readOne() }
  :: atomic { mine == 0 && owner == 0 && nextClaim + 2 <= CLAIMS ->
       /* the claim number modulo ENTRIES is the id of the entry process */
       nextClaim = nextClaim + 1;
       if
       :: nextClaim % ENTRIES != id -> nextClaim = nextClaim + 1
       :: else -> skip
       fi;
       mine = nextClaim; lastOfLife = mine; waiting = true; won = false; sent = false;
       append(claim, mine);
       if
       :: append(claim, mine)
       :: skip
       fi
     }
#ifdef NO_READ
  :: atomic { waiting && mine != 0 -> execute(mine); sent = true; waiting = false }
#endif
  :: atomic { won && !sent -> execute(mine); sent = true; won = false }
  :: atomic { won && !sent -> append(release, mine); answerNotRun(mine); won = false; mine = 0 }
     /* the call ends before its claim is read back: the answer is "unknown" */
  :: atomic { waiting ->
#ifdef EARLY_NOT_RUN
       answerNotRun(mine);
#endif
       waiting = false; mine = 0
     }
#ifdef TAKEOVER
  :: atomic { owner != 0 && owner != mine && !sent -> execute(owner); sent = true }
#endif
#ifdef RETRY_LOST
  :: atomic { sent && mine != 0 -> execute(mine) }
#endif
#ifdef RELEASE_SENT
  :: atomic { sent && mine != 0 -> append(release, mine); mine = 0 }
#endif
  :: atomic { lives > 1 ->
       lives--; next = 0; owner = 0; mine = 0;
       waiting = false; won = false; sent = false;
       firstOfLife = nextClaim + 1; lastOfLife = 0
     }
  :: next == tail && mine == 0 -> break
  od
}

init { atomic { run Entry(0); run Entry(1) } }
