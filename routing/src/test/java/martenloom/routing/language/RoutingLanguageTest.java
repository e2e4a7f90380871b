package martenloom.routing.language;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.common.error.InvalidConfigurationException;
import org.junit.jupiter.api.Test;

/** A text compiles and is printed again; a bad one is rejected with line, column and reason. */
final class RoutingLanguageTest {
    private static final String TEXT =
            """
            revision 3
            limits head 16384 body 4194304 head-wait 3000ms idle 15000ms
            service s health /h connections 9 warm 3000ms 32.0/s engine 8 1000 5 m
            service "two words" health / connections 1
            route r host h under /a/ streaming within 9ms aim 8ms pause 7ms rank 1 tries 2 resumable affinity to s 1 "two words" 2 only east west
            scaling m window 60 delay 900 step 50 utilization 70 target 0 floor 2 ceiling 9
            """;

    private static void assertRejected(String text, String message) {
        var error =
                assertThrows(
                        InvalidConfigurationException.class, () -> RoutingLanguage.compile(text));
        assertTrue(error.getMessage().contains(message), error.getMessage());
    }

    private static String compileAndPrint(String text) {
        return RoutingLanguage.print(RoutingLanguage.compile(text));
    }

    @Test
    void whatIsPrintedCompilesToTheSame() {
        assertEquals(TEXT, compileAndPrint(TEXT));
    }

    @Test
    void blanksAndCommentsDoNotCount() {
        assertEquals(TEXT, compileAndPrint("# routes\n\n" + TEXT.replace(" health", "\t  health")));
    }

    @Test
    void theLongestPrefixWins() {
        var table =
                RoutingLanguage.compile(
                        "service s health / connections 1\n"
                            + "route a host h under / idempotent within 1ms aim 1ms pause 0ms rank"
                            + " 0 tries 1 to s 1\n"
                            + "route b host h under /x/ idempotent within 1ms aim 1ms pause 0ms"
                            + " rank 0 tries 1 to s 1\n"
                            + "route c host h under /x/y/ idempotent within 1ms aim 1ms pause 0ms"
                            + " rank 0 tries 1 to s 1\n");
        assertEquals("c", table.find("h", "/x/y/z").get().name());
        assertEquals("b", table.find("h", "/x/yy").get().name());
        assertEquals("a", table.find("h", "/q").get().name());
    }

    @Test
    void errorsNameLineColumnAndReason() {
        assertRejected("revision 3\nservice s health /h connections many\n", "line 2 column 33");
        assertRejected("revision 3 4", "line 1 column 12: '4' is not expected here");
        assertRejected("service \"s health", "line 1 column 9: a quote is not closed");
        assertRejected("service s", "line 1 column 9: 'health' is expected");
        assertRejected("servise s", "line 1 column 1: 'servise' is no statement");
        assertRejected(
                TEXT.replace("to s 1", "to x 1"), "line 5 column 102: service 'x' is unknown");
        assertRejected(TEXT + "scaling n floor 1", "line 7 column 9: no service has model 'n'");
        assertRejected(TEXT + "scaling m floor -1", "line 7 column 17: ");
    }
}
