package io.cranberryarch.wire;

import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessageUnpacker;

/** The types of messages. Each knows its code on the wire and how to read its fields. */
public enum MessageType {
    /** First message in both directions. */
    HELLO(1, HelloMessage::read),
    /** Proves knowledge of the fleet's secret. */
    PROOF(2, ProofMessage::read),
    /** Asks for a sign of life. */
    PING(3, PingMessage::readPing),
    /** Answers a ping. */
    PONG(4, PingMessage::readPong),
    /** A request for the upstream of the receiver. */
    CALL(5, CallMessage::read),
    /** The final answer to a call. */
    ANSWER(6, AnswerMessage::read),
    /** Gives a call up. */
    CANCEL(7, CancelMessage::read),
    /** Members and settings version known to the sender. */
    GOSSIP(8, GossipMessage::readRequest),
    /** Answers a gossip message with what the receiver knows. */
    GOSSIP_ANSWER(11, GossipMessage::readAnswer),
    /** Asks the receiver to probe another member. */
    PROBE(40, ProbeMessage::read),
    /** Tells whether a probed member answered. */
    PROBE_ANSWER(41, ProbeAnswerMessage::read),
    /** Asks for settings after a version. */
    SETTINGS_PULL(9, SettingsPullMessage::read),
    /** Changes of the settings, or a whole tree. */
    SETTINGS_PUSH(10, SettingsPushMessage::read),
    /** Asks the allocator of a zone for tokens of a client account. */
    TOKEN_REQUEST(20, TokenRequestMessage::read),
    /** Answers a request for tokens. */
    TOKEN_ANSWER(21, TokenAnswerMessage::read),
    /** Asks to send no more requests on this connection. */
    GO_AWAY(30, GoAwayMessage::read),
    /** First message in both directions between nodes on a hosted platform. */
    PEER_HELLO(50, PeerHelloMessage::read),
    /** What a node says of its upstream and of itself. */
    PEER_STATUS(51, PeerStatusMessage::read),
    /** A request for the upstream of the receiver, on a hosted platform. */
    FORWARD(52, ForwardMessage::read),
    /** The outcome of a forwarded request. */
    FORWARD_ANSWER(53, ForwardAnswerMessage::read),
    /** Asks a node for the rules that it follows. */
    RULES_REQUEST(54, RulesRequestMessage::read),
    /** The operators' document with the rules. */
    RULES(55, RulesMessage::read),
    /** Asks a node to which other nodes it is connected. */
    PEERS_REQUEST(56, PeersRequestMessage::read),
    /** The nodes to which the sender is connected. */
    PEERS(57, PeersMessage::read);

    private static final MessageType[] BY_CODE = new MessageType[64];

    static {
        for (MessageType type : values()) {
            BY_CODE[type.code] = type;
        }
    }

    private final int code;
    private final Reader reader;

    MessageType(int code, Reader reader) {
        this.code = code;
        this.reader = reader;
    }

    /**
     * Finds a type.
     *
     * @param code the code on the wire
     * @return the type, or empty if the code is unknown
     */
    public static Optional<MessageType> of(int code) {
        return code < 0 || code >= BY_CODE.length ? Optional.empty() : Optional.ofNullable(BY_CODE[code]);
    }

    /**
     * Gets the code.
     *
     * @return the code on the wire
     */
    public int getCode() {
        return code;
    }

    /**
     * Reads the fields of a message of this type.
     *
     * @param unpacker the source, not {@code null}
     * @return the message
     * @throws IOException if the fields are malformed
     */
    public Message read(MessageUnpacker unpacker) throws IOException {
        return reader.read(unpacker);
    }

    /** Reads the fields of one type. */
    @FunctionalInterface
    private interface Reader {
        Message read(MessageUnpacker unpacker) throws IOException;
    }
}
