package martenloom.common.error;

/**
 * The one unchecked exception of the project. It says by code what kind of thing went wrong, at
 * which step, and with which peer ("here" when no peer was concerned), so that one printed line is
 * enough to look in the right place.
 */
public final class Fault extends RuntimeException {
    /** The part of the system in which a fault arose. */
    public enum Code {
        SETTINGS,
        CONFIGURATION,
        USAGE,
        DISK,
        LINK,
        RECORD,
        REPLICA,
        CLIENT,
        VIEW
    }

    public final Code code;
    public final String step;
    public final String peer;

    public Fault(Code c, String step, String peer, String why) {
        super(c + " at " + step + " with " + peer + ": " + why, (Throwable) null, false, false);
        this.code = c;
        this.step = step;
        this.peer = peer;
    }

    public static Fault here(Code c, String step, String why) {
        return new Fault(c, step, "here", why);
    }
}
