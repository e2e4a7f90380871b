package martenloom.autoscaler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.common.error.UsageException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The ranges of the fields, and the defaults that a daemon gets on its command line. */
final class ScalingSettingsTest {
    private static InvalidConfigurationException rejected(Map<ScalingField, Double> changes) {
        return assertThrows(
                InvalidConfigurationException.class,
                () -> ScalingSettings.DEFAULT.with("m", changes));
    }

    @ParameterizedTest
    @EnumSource
    void aValueOutOfRangeNamesModelFieldAndRange(ScalingField field) {
        var message = rejected(Map.of(field, -1.0)).getMessage();
        assertTrue(
                message.contains("'m' " + field.configurationName()) && message.contains("from"),
                message);
    }

    @Test
    void valuesHaveToBeWholeAndConsistent() {
        rejected(Map.of(ScalingField.STEP, 51.0));
        rejected(Map.of(ScalingField.WINDOW, 9.5));
        rejected(Map.of(ScalingField.FLOOR, 3.0, ScalingField.CEILING, 2.0));
    }

    @Test
    void assignmentsAreParsed() {
        var settings = ScalingSettings.parse("window=10,delay=5");
        assertEquals(10, settings.windowS());
        assertEquals(5, settings.delayS());
        assertEquals(ScalingSettings.DEFAULT.stepPercent(), settings.stepPercent());
    }

    @Test
    void malformedAssignmentsAreRejected() {
        for (var text : new String[] {"window", "wondow=3", "window=ten"}) {
            assertThrows(UsageException.class, () -> ScalingSettings.parse(text));
        }
    }
}
