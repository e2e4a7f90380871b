package martenloom.launcher.harness;

import java.util.regex.Pattern;

/** Reads single values out of the answers of the shell. */
public final class ShellAnswers {
    private ShellAnswers() {}

    /** The address of the head in the answer to "chain". */
    public static String viewHead(String answer) {
        return answer.replaceAll("(?s).*head (\\S+) .*", "$1");
    }

    /** The address of the edge that holds this role's lease, in the answer to "leases". */
    public static String leaseHolder(String answer, String role) {
        return answer.replaceAll("(?s).*" + role + " grant \\d+ holder ([0-9.]+)#.*", "$1");
    }

    /** The number that the pattern's first group finds; -1 where the answer has none. */
    public static long number(Pattern pattern, String answer) {
        var found = pattern.matcher(answer);
        return found.find() ? Long.parseLong(found.group(1)) : -1;
    }
}
