/*
 * Segment leases, commits and cancellation of batch jobs.
 *
 * One job with one segment of one item. Holders acquire the lease in the table,
 * run the item, and commit its result in one transaction. The lease may expire at
 * any time, also while its holder is paused. A holder may crash after it has
 * acquired the lease. The table's response to a commit may be lost, whether or not
 * the commit took effect. A canceller sets the job's row to cancelled, and the
 * cancellation is acknowledged afterwards.
 *
 * Properties:
 *   once    the item's result becomes visible at most once
 *   stop    no result becomes visible after the cancellation is acknowledged
 *   told    when a holder considers its commit successful, a result is visible
 *   done    when all holders have ended, one of which never crashes, the segment
 *           is done or the job is cancelled
 *
 * Broken variants, each of which the checker must catch:
 *   -DNO_TOKEN      commit without the condition on the fencing token
 *   -DNO_JOB_CHECK  commit without the condition on the job's state
 *   -DBLIND_RETRY   a lost response is treated as a failure and the commit is
 *                   repeated without the condition on the token
 *   -DLOST_IS_DONE  a lost response is treated as success
 *   -DGIVE_UP       a holder whose commit failed does not acquire the lease again
 */

#define HOLDERS 3
#define FREE    255

byte holder = FREE;      /* segment row: holder of the lease */
byte token = 0;          /* segment row: fencing token, incremented with every acquisition */
bool segment_done = false;
bool job_cancelled = false;
bool cancel_acknowledged = false;
byte visible = 0;        /* number of results that readers see */
bool visible_after_cancel = false;
bool false_report = false;
byte finished = 0;

/* The transaction of a commit. Checking the conditions and writing is one step. */
inline commit(my_token, blind, took)
{
	d_step {
		took = false;
		if
		:: (
#ifdef NO_JOB_CHECK
			true
#else
			!job_cancelled
#endif
			) && (
#ifdef NO_TOKEN
			true
#else
			blind || (token == my_token && !segment_done)
#endif
			) ->
			took = true;
			visible++;
			segment_done = true;
			if
			:: cancel_acknowledged -> visible_after_cancel = true
			:: else -> skip
			fi
		:: else -> skip
		fi
	}
}

proctype Holder(byte me; bool may_crash)
{
	byte my_token;
	bool took;
	bool lost;
acquire:
	atomic {
		if
		:: segment_done || job_cancelled -> goto out
		:: holder == FREE && !segment_done && !job_cancelled ->
			holder = me;
			token++;
			my_token = token
		fi
	}
	/* The item runs here. The holder may pause for any time, or crash. */
	if
	:: may_crash -> goto out
	:: skip
	fi;
	lost = false;
	commit(my_token, false, took);
	if
	:: lost = true
	:: skip
	fi;
	if
	:: lost ->
#ifdef BLIND_RETRY
		commit(my_token, true, took);
#elif defined(LOST_IS_DONE)
		took = true;
#else
		/* Read back: the commit took effect if and only if the row is done under this token. */
		took = segment_done && token == my_token;
#endif
	:: else -> skip
	fi;
	if
	:: took && visible == 0 -> false_report = true
	:: else -> skip
	fi;
	if
#ifndef GIVE_UP
	:: !took && !segment_done && !job_cancelled -> goto acquire
#endif
	:: else -> skip
	fi;
out:
	finished++
}

/* The table's clock: a lease expires whatever its holder does. */
proctype Clock()
{
	byte lapses = 0;
	do
	:: lapses < HOLDERS && holder != FREE -> atomic { holder = FREE; lapses++ }
	:: segment_done || job_cancelled || finished == HOLDERS -> break
	od
}

proctype Canceller()
{
	if
	:: atomic { !segment_done -> job_cancelled = true };
	   cancel_acknowledged = true
	:: skip
	fi
}

init
{
	atomic {
		run Holder(0, true);
		run Holder(1, true);
		run Holder(2, false);
		run Clock();
		run Canceller()
	}
}

ltl once { [] (visible <= 1) }
ltl stop { [] (!visible_after_cancel) }
ltl told { [] (!false_report) }
ltl done { [] (finished == HOLDERS -> (segment_done || job_cancelled)) }
