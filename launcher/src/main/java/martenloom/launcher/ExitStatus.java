package martenloom.launcher;

import java.util.Arrays;

/** How a program ended, as its exit code says. */
enum ExitStatus {
    SUCCESS(0),
    /** A check did not pass, or a file, disk or link could not be used. */
    FAILURE(1),
    /** The command line is not understood. */
    USAGE_ERROR(2),
    /** A thread ended that must not, or there was no heap left. */
    INTERNAL_ERROR(3);

    private final int code;

    ExitStatus(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }

    /** The status of an exit code that another module gives. */
    static ExitStatus ofCode(int code) {
        return Arrays.stream(values())
                .filter(status -> status.code == code)
                .findFirst()
                .orElse(FAILURE);
    }

    /** Success when a check has passed, failure otherwise. */
    static ExitStatus ofCheck(boolean passed) {
        return passed ? SUCCESS : FAILURE;
    }
}
