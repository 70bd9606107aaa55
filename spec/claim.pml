/*
 * Claims of work that may run at most once.
 *
 * Three attempts at different instances receive the same request, which the
 * caller has sent again. Each inserts the claim row if it is absent, and
 * dispatches the work only when the row is its own. The table's response to an
 * insert may be lost after the insert took effect. Instances may crash between
 * the steps. The claim row does not expire.
 *
 * Properties:
 *   at_most_once  the work is dispatched at most once
 *   honest        an attempt that reports "not run" to its caller has not
 *                 dispatched the work
 *   stored_first  a caller receives an answer only after it is stored
 *
 * Broken variants, each of which the checker must catch:
 *   -DLOST_IS_MINE    a lost response to the insert is treated as success
 *   -DLOST_IS_RETRY   after a lost response the instance removes the claim and
 *                     claims again
 *   -DLAPSING_CLAIM   a claim without a stored answer is taken over and the work
 *                     is run again
 *   -DFAILED_IS_NOT_RUN  a failure of the upstream is reported as "not run"
 *   -DANSWER_FIRST    the caller receives the answer before it is stored
 */

#define NONE 255

byte owner = NONE;        /* claim row: the attempt that inserted it */
bool stored = false;      /* claim row: the answer is stored */
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
	/* The upstream may fail after it has received the work. */
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
	/* As specified, the outcome is reported as "unknown". */
	goto out;
resend:
#ifdef LAPSING_CLAIM
	if
	:: !stored -> goto execute
	:: else -> skip
	fi;
#endif
	/* Without a claim row, the claim could not be recorded: the table is down. */
	if
	:: owner == NONE -> tell_not_run(ran)
	:: stored -> tell_answer()
	:: else -> skip  /* reported as "pending" or "unknown" */
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
