package martenloom.core.chain;

/**
 * A message between two members of the chain. Any message may be lost, delayed, repeated or
 * reordered; {@link ChainMessageCodec} gives its form on the wire.
 */
sealed interface ChainMessage
        permits ElectionMessage,
                ReplicationMessage,
                HeartbeatMessage,
                AnnouncementMessage,
                ContentMessage,
                StateMessage {}
