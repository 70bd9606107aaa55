/*
 * Versions of the configuration and the preset in force.
 *
 * Two operators change the document. A change is a transaction with a condition
 * on the version of the head row. It is pushed to the instances in messages that
 * may be delayed, repeated or lost. Any instance may read the head from the table,
 * or restart without memory.
 *
 * Properties:
 *   monotonic   no instance applies a version lower than one that it has applied
 *               since it started
 *   kept        no accepted change is overwritten in the table
 *   configured  no instance serves before it has a configuration
 *   agreed      instances with the same version have the same preset
 *
 * Broken variants, each of which the checker must catch:
 *   -DANY_PUSH        a push is applied even when its version is not higher
 *   -DNO_CONDITION    a change is written without the condition on the version
 *   -DSERVE_EMPTY     an instance serves before it has a configuration
 */

#define INSTANCES 3
#define CHANGES   2
#define STEPS     4

byte head = 1;             /* table: version of the head row */
byte preset[5];            /* table: preset of each version; the value identifies its operator */
byte have[INSTANCES];      /* version in force at each instance, 0 for none */
bool reverted = false;
bool lost_change = false;
bool served_empty = false;
bool disagree = false;

/*
 * The pushes that were sent. An instance may receive each at any later time, any
 * number of times, or never, which models delayed, repeated and lost messages.
 */
byte sent_version[CHANGES];
byte sent_preset[CHANGES];

inline apply_version(at, ver, pre)
{
	if
#ifdef ANY_PUSH
	:: true ->
#else
	:: ver > have[at] ->
#endif
		if
		:: ver < have[at] -> reverted = true
		:: else -> skip
		fi;
		have[at] = ver;
		if
		:: preset[ver] != pre -> disagree = true
		:: else -> skip
		fi
#ifndef ANY_PUSH
	:: else -> skip
#endif
	fi
}

proctype Operator(byte me; byte wanted)
{
	byte read_version;
	read_version = head;
	/* Other changes may be accepted between the read and the write. */
	d_step {
		if
#ifdef NO_CONDITION
		:: true ->
#else
		:: head == read_version ->
#endif
			if
			:: preset[read_version + 1] != 0 -> lost_change = true
			:: else -> skip
			fi;
			preset[read_version + 1] = wanted;
			head = read_version + 1;
			sent_version[me] = head;
			sent_preset[me] = wanted
#ifndef NO_CONDITION
		:: else -> skip  /* conflict: the change is rejected */
#endif
		fi
	}
}

proctype Instance(byte me)
{
	byte steps = 0;
	do
	:: steps < STEPS ->
		steps++;
		if
		:: d_step { sent_version[0] > 0 -> apply_version(me, sent_version[0], sent_preset[0]) }
		:: d_step { sent_version[1] > 0 -> apply_version(me, sent_version[1], sent_preset[1]) }
		:: d_step { apply_version(me, head, preset[head]) }
		:: d_step { have[me] = 0 }  /* restart without memory */
		:: d_step {  /* serve a request */
#ifdef SERVE_EMPTY
			true ->
#else
			have[me] > 0 ->
#endif
			if
			:: have[me] == 0 -> served_empty = true
			:: else -> skip
			fi
		   }
		fi
	:: else -> break
	od
}

init
{
	atomic {
		preset[1] = 9;
		run Operator(0, 11);
		run Operator(1, 12);
		run Instance(0);
		run Instance(1);
		run Instance(2)
	}
}

ltl monotonic { [] (!reverted) }
ltl kept { [] (!lost_change) }
ltl configured { [] (!served_empty) }
ltl agreed { [] (!disagree) }
