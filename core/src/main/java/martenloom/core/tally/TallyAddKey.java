package martenloom.core.tally;

/**
 * What tells one add from another.
 *
 * @param name of the tally
 * @param id the identity that the caller gave the add
 */
record TallyAddKey(String name, String id) {}
