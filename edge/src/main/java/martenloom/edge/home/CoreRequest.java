package martenloom.edge.home;

/**
 * A request of an edge to the core.
 *
 * @param subject the job, or the region and model, that it is about
 * @param fencingToken the fencing token of the role lease under which it is made
 * @param version what tells it from another one on the same subject, and from a late copy
 * @param body the rest, as the command requires it
 */
public record CoreRequest(
        CoreCommand command, String subject, long fencingToken, long version, String body) {}
