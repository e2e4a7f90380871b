package martenloom.launcher.harness;

/** The event stream that a stand-in replica sends. */
public final class EventStream {
    /** The ids of all events, as {@link #ids} gives them for a complete stream. */
    public static final String ALL_IDS = "1,2,3,4,5,6,7,8,";

    /** How a complete stream ends. */
    public static final String LAST_EVENT = "data: piece 8\n\n";

    private EventStream() {}

    /** The ids of the events in a body, each with a comma; what is no event stays as it is. */
    public static String ids(String body) {
        return body.replaceAll("(?s)id: (\\d+)\ndata: piece \\d+\n\n", "$1,");
    }
}
