package martenloom.core.state;

/**
 * Who holds a role that only one edge may have.
 *
 * @param holder the address of the edge with its incarnation
 * @param fencingToken the number of the grant; a higher token fences off every lower one
 */
public record RoleLease(String holder, long fencingToken) {}
