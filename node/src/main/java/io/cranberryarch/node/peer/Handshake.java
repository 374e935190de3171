package io.cranberryarch.node.peer;

import io.cranberryarch.base.Digests;
import io.cranberryarch.node.NodeIdentity;
import io.cranberryarch.wire.FrameCodec;
import io.cranberryarch.wire.HelloMessage;
import io.cranberryarch.wire.MalformedFrameException;
import io.cranberryarch.wire.ProofMessage;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Proves to each other that both ends of a connection know the secret of the fleet.
 *
 * <p>Each end sends a hello with a random nonce. Its proof is a keyed digest over its role and both hellos, so that a
 * proof is of no use on another connection or in the other direction.
 */
final class Handshake {

    private static final int NONCE_BYTES = 16;

    private final byte[] secret;
    private final boolean isInitiator;
    private final HelloMessage own;
    private HelloMessage peer;

    Handshake(String secret, NodeIdentity identity, boolean isInitiator) {
        this.secret = secret.getBytes(StandardCharsets.UTF_8);
        this.isInitiator = isInitiator;
        this.own = new HelloMessage(
                FrameCodec.PROTOCOL_VERSION,
                identity.instance(),
                identity.incarnation(),
                Digests.randomBytes(NONCE_BYTES));
    }

    HelloMessage getOwnHello() {
        return own;
    }

    HelloMessage getPeerHello() {
        return peer;
    }

    ProofMessage onHello(HelloMessage hello) throws MalformedFrameException {
        if (peer != null) {
            throw new MalformedFrameException("second hello");
        }
        if (hello.version() != FrameCodec.PROTOCOL_VERSION) {
            throw new MalformedFrameException("protocol version " + hello.version() + " is not supported");
        }
        if (hello.nonce().length != NONCE_BYTES) {
            throw new MalformedFrameException("nonce has " + hello.nonce().length + " bytes");
        }
        peer = hello;
        return new ProofMessage(toMac(isInitiator, own, peer));
    }

    void onProof(ProofMessage proof) throws MalformedFrameException {
        if (peer == null) {
            throw new MalformedFrameException("proof before hello");
        }
        if (!Digests.isEqual(proof.mac(), toMac(!isInitiator, peer, own))) {
            throw new MalformedFrameException("proof does not match the secret of the fleet");
        }
    }

    private byte[] toMac(boolean byInitiator, HelloMessage sender, HelloMessage receiver) {
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        data.write(byInitiator ? 1 : 2);
        data.writeBytes(sender.nonce());
        data.writeBytes(receiver.nonce());
        data.writeBytes((sender.instance() + "/" + sender.incarnation()).getBytes(StandardCharsets.UTF_8));
        return Digests.toHmac(secret, data.toByteArray());
    }
}
