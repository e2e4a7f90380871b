package martenloom.core.registry;

import java.util.Optional;

/**
 * What has come in directly at a registry since the last update, encoded for the other core
 * daemons.
 *
 * @param changedRows the rows that say something new, in short rows
 * @param liveness the others, by their keys and numbers alone
 * @param allRows both as rows, for daemons that do not read the short form
 */
public record PeerUpdate(
        Optional<byte[]> changedRows, Optional<byte[]> liveness, Optional<byte[]> allRows) {}
