/*
 * Claims of work that may run at most once.
 *
 * Two instances receive the same request (a resend). Each inserts the claim
 * row if it is absent, and dispatches only when its own insert stands. Answers
 * of the table may be lost after the effect; instances may crash at any step;
 * the claim row never lapses.
 *
 * Properties:
 *   at_most_once  the work is dispatched at most once
 *   honest        an attempt that tells its caller "not run" has not dispatched
 *   stored_first  a caller that is given an answer is given a stored one
 *
 * Broken variants:
 *   -DLOST_IS_MINE    a lost answer of the insert is taken for success
 *   -DLOST_IS_RETRY   a lost answer makes the instance release and claim anew
 *   -DLAPSING_CLAIM   a claim of a crashed instance is taken over and run
 *   -DFAILED_IS_NOT_RUN  a failure of the upstream is told as "not run"
 *   -DANSWER_FIRST    the caller is answered before the answer is stored
 */

#define NONE 255

byte owner = NONE;        /* claim row: id of the attempt that inserted it */
bool stored = false;      /* claim row: answer is stored */
byte dispatched = 0;
bool false_not_run = false;
bool unstored_answer = false;

inline insert(me, won)
{
	d_step {
		won = (owner == NONE);
		if
		:: won -> owner = me
		:: else -> skip
		fi
	}
}

inline tell_answer()
{
	if
	:: !stored -> unstored_answer = true
	:: else -> skip
	fi
}

inline tell_not_run(dispatched_here)
{
	if
	:: dispatched_here -> false_not_run = true
	:: else -> skip
	fi
}

proctype Attempt(byte me)
{
	bool won;
	bool ran = false;
	bool lost = false;
claim:
	insert(me, won);
	if
	:: lost = true
	:: skip
	fi;
	if
	:: lost ->
#ifdef LOST_IS_MINE
		won = true;
#else
#ifdef LOST_IS_RETRY
		d_step { owner = NONE; lost = false };
		goto claim;
#else
		won = (owner == me);
#endif
#endif
	:: else -> skip
	fi;
	/* Crash after the claim and before the dispatch. */
	if
	:: goto out
	:: skip
	fi;
	if
	:: won -> goto execute
	:: else -> goto resend
	fi;
execute:
	dispatched++;
	ran = true;
	/* Crash after the dispatch and before the answer is stored. */
	if
	:: goto out
	:: skip
	fi;
	/* The upstream may fail after it was given the work. */
	if
	:: goto failed
	:: skip
	fi;
#ifdef ANSWER_FIRST
	tell_answer();
	stored = true;
#else
	stored = true;
	tell_answer();
#endif
	goto out;
failed:
#ifdef FAILED_IS_NOT_RUN
	tell_not_run(ran);
#endif
	/* As specified the caller is told "unknown". */
	goto out;
resend:
#ifdef LAPSING_CLAIM
	if
	:: !stored -> goto execute
	:: else -> skip
	fi;
#endif
	/* The claim could not be recorded: the table is down. */
	if
	:: owner == NONE -> tell_not_run(ran)
	:: stored -> tell_answer()
	:: else -> skip  /* "pending" or "unknown" */
	fi;
out:
	skip
}

init
{
	atomic {
		run Attempt(0);
		run Attempt(1);
		run Attempt(2)
	}
}

ltl at_most_once { [] (dispatched <= 1) }
ltl honest { [] (!false_not_run) }
ltl stored_first { [] (!unstored_answer) }
