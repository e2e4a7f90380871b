package martenloom.core.tally;

/**
 * Where an add stands in the log of the daemon that took it.
 *
 * @param origin the log
 * @param sequence the number of the add in it, from 1
 */
record AddPosition(long origin, long sequence) {}
