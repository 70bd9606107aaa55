/*
 * Versions of the configuration and the preset in force.
 *
 * Two operators change the document. A change is a transaction conditioned on
 * the head's version. It is pushed to the instances in messages that may be
 * late, repeated or lost; any instance may pull from the table or restart
 * without memory.
 *
 * Properties:
 *   monotonic   no instance ever applies a lower version than it had since it
 *               started, nor serves before it has one
 *   kept        an accepted change is never lost from the table
 *   agreed      two instances with the same version have the same preset
 *
 * Broken variants:
 *   -DANY_PUSH        a push is applied whatever its version
 *   -DNO_CONDITION    a change is written without the condition on the version
 *   -DSERVE_EMPTY     an instance serves before it has a configuration
 */

#define INSTANCES 3
#define CHANGES   2
#define STEPS     4

byte head = 1;             /* table: version of the head */
byte preset[5];            /* table: preset of each version, by its author */
byte have[INSTANCES];      /* version in force at each instance */
bool reverted = false;
bool lost_change = false;
bool served_empty = false;
bool disagree = false;

/*
 * Every push ever sent. A receiver may take any of them at any time and any
 * number of times, or never: late, repeated and lost messages in one.
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
		:: else -> skip  /* conflict: the operator is told who won */
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
		:: d_step {  /* serves a request */
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
