package martenloom.core.chain;

import java.util.List;

/** The messages by which a member fetches contents that a state only names. */
sealed interface ContentMessage extends ChainMessage {
    /** Asks for contents by their digests. */
    record ContentRequest(List<String> digests) implements ContentMessage {}

    /** One content; its digest names it. */
    record ContentResponse(byte[] content) implements ContentMessage {}
}
