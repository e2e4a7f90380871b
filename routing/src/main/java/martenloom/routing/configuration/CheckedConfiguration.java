package martenloom.routing.configuration;

/**
 * A configuration that has passed all checks.
 *
 * @param json the text to read back
 * @param routingText the same in the routing language
 */
public record CheckedConfiguration(long revision, String json, String routingText) {}
