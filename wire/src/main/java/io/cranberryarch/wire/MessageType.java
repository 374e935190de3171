package io.cranberryarch.wire;

import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessageUnpacker;

/** The types of messages, each with its code on the wire and the reader of its fields. */
public enum MessageType {
    /** First message in both directions. */
    HELLO(1, HelloMessage::read),
    /** Proves that the sender holds the secret of the fleet. */
    PROOF(2, ProofMessage::read),
    /** Checks that the peer is responsive. */
    PING(3, PingMessage::readPing),
    /** Answers a ping. */
    PONG(4, PingMessage::readPong),
    /** A request for the upstream of the receiver. */
    CALL(5, CallMessage::read),
    /** The final answer to a call. */
    ANSWER(6, AnswerMessage::read),
    /** Cancels a call. */
    CANCEL(7, CancelMessage::read),
    /** Reports member records, withdrawn keys and the settings version of the sender. */
    GOSSIP(8, GossipMessage::readRequest),
    /** Answers a gossip message with the records of the receiver. */
    GOSSIP_ANSWER(11, GossipMessage::readAnswer),
    /** Requests that the receiver probe another member. */
    PROBE(40, ProbeMessage::read),
    /** Reports whether a probed member answered. */
    PROBE_ANSWER(41, ProbeAnswerMessage::read),
    /** Requests settings newer than a version. */
    SETTINGS_PULL(9, SettingsPullMessage::read),
    /** Transfers changes of the settings, or a complete settings tree. */
    SETTINGS_PUSH(10, SettingsPushMessage::read),
    /** Requests tokens of a client account from the allocator of a zone. */
    TOKEN_REQUEST(20, TokenRequestMessage::read),
    /** Answers a request for tokens. */
    TOKEN_ANSWER(21, TokenAnswerMessage::read),
    /** Requests that the peer send no more requests on this connection. */
    GO_AWAY(30, GoAwayMessage::read),
    /** First message in both directions between nodes on a hosted platform. */
    PEER_HELLO(50, PeerHelloMessage::read),
    /** Reports the status of a node and its upstream. */
    PEER_STATUS(51, PeerStatusMessage::read),
    /** A request for the upstream of the receiver, on a hosted platform. */
    FORWARD(52, ForwardMessage::read),
    /** The outcome of a forwarded request. */
    FORWARD_ANSWER(53, ForwardAnswerMessage::read),
    /** Requests the rules that the receiver applies. */
    RULES_REQUEST(54, RulesRequestMessage::read),
    /** Transfers the operators' document with the rules. */
    RULES(55, RulesMessage::read),
    /** Requests the nodes to which the receiver is connected. */
    PEERS_REQUEST(56, PeersRequestMessage::read),
    /** Lists the nodes to which the sender is connected. */
    PEERS(57, PeersMessage::read),
    /** Tells a node what the sender knows of the node's upstream. */
    KNOWN_UPSTREAM(58, KnownUpstreamMessage::read);

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
     * Finds the type with a code.
     *
     * @param code the code on the wire
     * @return the type, or empty if the code is unknown
     */
    public static Optional<MessageType> of(int code) {
        return code < 0 || code >= BY_CODE.length ? Optional.empty() : Optional.ofNullable(BY_CODE[code]);
    }

    /**
     * Returns the code on the wire.
     *
     * @return the code
     */
    public int getCode() {
        return code;
    }

    /**
     * Reads the fields of a message of this type.
     *
     * @param unpacker the input, not {@code null}
     * @return the message
     * @throws IOException if the fields are malformed
     */
    public Message read(MessageUnpacker unpacker) throws IOException {
        return reader.read(unpacker);
    }

    /** Reads the fields of one message type. */
    @FunctionalInterface
    private interface Reader {
        Message read(MessageUnpacker unpacker) throws IOException;
    }
}
